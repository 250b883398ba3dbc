"""Adapter to the operators' platform; nothing outside knows its names."""
