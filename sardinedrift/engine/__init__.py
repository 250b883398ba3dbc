"""Batch job engine: jobs consist of steps, run as tasks on pools of workers.

Scheduling decisions are functions over typed in-memory state, in modules
without network access. `ports` defines the interfaces to external services;
`entry` and `controller` connect the two.
"""
