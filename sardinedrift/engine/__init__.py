"""Batch work: jobs of steps, run as tasks on workers of several pools.

Decisions are functions over typed state in modules without a network; the
ports to the outside stand in `ports`, and the daemons in `entry` and
`controller` connect the two.
"""
