"""Eligibility of entries for election as controller; performs no I/O."""

from sardinedrift.engine.catalogue import EntryCapacity

# An entry is eligible if its machine has at least these shares of the highest
# core count and link bandwidth of all entries, because the controller's load
# grows with the fleet.
MIN_CORES_SHARE = 0.6
MIN_LINK_SHARE = 0.25


def is_eligible(node: str, capacity_by_node: dict[str, EntryCapacity]) -> bool:
    """Whether an entry has enough resources, relative to all known entries.

    An entry whose own record is not known yet is not eligible.
    """
    own = capacity_by_node.get(node)
    if own is None:
        return False
    capacities = capacity_by_node.values()
    return own.cores >= MIN_CORES_SHARE * max(
        each.cores for each in capacities
    ) and own.link_mbps >= MIN_LINK_SHARE * max(
        each.link_mbps for each in capacities
    )
