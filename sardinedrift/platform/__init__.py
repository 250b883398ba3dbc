"""Adapters to the operators' platform.

The platform's wire formats and names are confined to this package.
"""
