"""Suitability of entries for the role of controller; performs no I/O."""

import xxhash

from sardinedrift.engine.catalogue import EntryCapacity

# An entry is eligible if its machine has at least these shares of the highest
# core count and link bandwidth of all entries, because the controller's load
# grows with the fleet.
MIN_CORES_SHARE = 0.6
MIN_LINK_SHARE = 0.25


class Suitability:
    """Compares entries by the recorded capacities of their machines.

    Args:
        capacity_by_node: the recorded capacities, updated by the caller.
    """

    def __init__(self, capacity_by_node: dict[str, EntryCapacity]):
        self._capacity_by_node = capacity_by_node

    def is_eligible(self, node: str) -> bool:
        """Whether an entry has enough resources, relative to all known entries.

        An entry whose own record is not known yet is not eligible.
        """
        own = self._capacity_by_node.get(node)
        return own is not None and _has_at_least(own, self._minimum())

    def rank(self, node: str) -> int:
        """Returns the position of an entry in the order of succession.

        Eligible entries come first, each group in the order of a hash, so that
        neighbours in the order are spread over the data centres.
        """
        minimum = self._minimum()

        def sort_key(name: str) -> tuple[bool, int]:
            capacity = self._capacity_by_node.get(name)
            eligible = capacity is not None and _has_at_least(capacity, minimum)
            return not eligible, xxhash.xxh32_intdigest(name.encode())

        key = sort_key(node)
        return sum(sort_key(other) < key for other in self._capacity_by_node)

    def _minimum(self) -> EntryCapacity:
        """Returns the least capacity of an eligible entry."""
        capacities = self._capacity_by_node.values()
        cores = max((each.cores for each in capacities), default=0.0)
        link_mbps = max((each.link_mbps for each in capacities), default=0.0)
        return EntryCapacity(
            MIN_CORES_SHARE * cores, MIN_LINK_SHARE * link_mbps
        )


def _has_at_least(capacity: EntryCapacity, minimum: EntryCapacity) -> bool:
    return (
        capacity.cores >= minimum.cores
        and capacity.link_mbps >= minimum.link_mbps
    )
