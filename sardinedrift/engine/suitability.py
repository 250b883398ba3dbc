"""Which entries stand for election as the controller; without a network."""

from sardinedrift.engine.catalogue import EntryCapacity

# An entry stands when its machine carries at least these shares of what the
# strongest one does: the controller's work grows with the fleet.
CORES_SHARE = 0.6
LINK_SHARE = 0.25


def is_eligible(node: str, capacity_by_node: dict[str, EntryCapacity]) -> bool:
    """Whether an entry is strong enough, compared with all that are known.

    An entry whose own record is not known yet does not stand.
    """
    own = capacity_by_node.get(node)
    if own is None:
        return False
    strengths = capacity_by_node.values()
    return own.cores >= CORES_SHARE * max(
        each.cores for each in strengths
    ) and own.link_mbps >= LINK_SHARE * max(
        each.link_mbps for each in strengths
    )
