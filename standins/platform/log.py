"""The platform's log in memory: topics, producers, keyed topics, groups."""

import dataclasses


class Refused(Exception):  # noqa: N818
    """A call that the log answers with a status other than 200."""

    def __init__(self, status: int, body: dict | None = None):
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body or {}


@dataclasses.dataclass
class Producer:
    """State of a producer in a partition."""

    epoch: int = 0
    sequence: int | None = None
    answers: dict[int, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


class Partition:
    """Records by offset, the oldest of which may be dropped."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.producer_by_name: dict[str, Producer] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, records: list[bytes]) -> tuple[int, int]:
        """Appends records; returns the offset of the first and the end."""
        offset = self.end
        for at, record in enumerate(records):
            self.records.append(record)
            self._keep_newest(offset + at, record)
        return offset, self.end

    def drop_before(self, offset: int) -> None:
        """Drops the records before an offset."""
        count = max(0, min(offset, self.end) - self.first)
        del self.records[:count]
        self.first += count

    def _keep_newest(self, offset: int, record: bytes) -> None:
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode(errors="replace")
        value = record[key_end:]
        if value:
            self.newest_by_key[key] = (offset, value)
        else:
            self.newest_by_key.pop(key, None)


@dataclasses.dataclass
class Group:
    """Members by name, with the time of their last join."""

    generation: int = 0
    owner: str = ""
    joined_at_by_member: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    acknowledged_by_member: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class Log:
    """All topics and groups. A group deals out one partition."""

    def __init__(self) -> None:
        self._partition_by_name: dict[tuple[str, int], Partition] = {}
        self._group_by_name: dict[str, Group] = {}

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition, which is made on first use."""
        return self._partition_by_name.setdefault((topic, part), Partition())

    def append(
        self,
        topic: str,
        records: list[bytes],
        producer: str | None = None,
        epoch: int = 0,
        sequence: int = 0,
    ) -> tuple[int, int]:
        """Appends all records or refuses."""
        partition = self.partition(topic)
        if producer is None:
            return partition.append(records)
        state = partition.producer_by_name.setdefault(producer, Producer())
        if epoch < state.epoch:
            raise Refused(409, {"reason": "fenced"})
        if epoch > state.epoch:
            state.epoch, state.sequence = epoch, None
            state.answers.clear()
        if sequence in state.answers:
            return state.answers[sequence]
        if state.sequence is not None and sequence != state.sequence + 1:
            expected = state.sequence + 1
            raise Refused(409, {"reason": "seq", "seq": expected})
        answer = partition.append(records)
        state.sequence = sequence
        state.answers[sequence] = answer
        while len(state.answers) > 5:
            del state.answers[min(state.answers)]
        return answer

    def read(self, topic: str, start: int) -> list[bytes]:
        """Returns the records from an offset on."""
        partition = self.partition(topic)
        if start < partition.first:
            raise Refused(410, {"first": partition.first})
        return partition.records[start - partition.first :]

    def newest(
        self, topic: str, after: str, max_rows: int = 500
    ) -> tuple[list[tuple[str, bytes, int]], bool, int]:
        """Returns rows of key, value and offset, whether more, and the end."""
        partition = self.partition(topic)
        keys = sorted(key for key in partition.newest_by_key if key > after)
        rows = [
            (key, value, offset)
            for key in keys[:max_rows]
            for offset, value in (partition.newest_by_key[key],)
        ]
        return rows, len(keys) > max_rows, partition.end

    def join(
        self, name: str, member: str, generation: int, ttl_s: float, now: float
    ) -> tuple[int, bool]:
        """Joins a group; returns its generation and whether it owns."""
        group = self._group_by_name.setdefault(name, Group())
        self._expire(group, ttl_s, now)
        if member not in group.joined_at_by_member:
            group.generation += 1
        group.joined_at_by_member[member] = now
        group.acknowledged_by_member[member] = generation
        if not group.owner:
            group.owner = member
            group.generation += 1
        return group.generation, group.owner == member

    def members(
        self, name: str, ttl_s: float, now: float
    ) -> tuple[str, list[str]]:
        """Returns the owner, or "", and all members of a group."""
        group = self._group_by_name.setdefault(name, Group())
        self._expire(group, ttl_s, now)
        return group.owner, list(group.joined_at_by_member)

    def rebalance(self, name: str) -> None:
        """Takes all partitions of a group back; the next to join owns."""
        group = self._group_by_name.setdefault(name, Group())
        group.owner = ""
        group.generation += 1

    def leave(self, name: str, member: str) -> None:
        """Leaves a group."""
        group = self._group_by_name.setdefault(name, Group())
        if group.joined_at_by_member.pop(member, None) is not None:
            group.generation += 1
        if group.owner == member:
            group.owner = ""

    def _expire(self, group: Group, ttl_s: float, now: float) -> None:
        for member, joined_at in list(group.joined_at_by_member.items()):
            if now - joined_at > ttl_s:
                del group.joined_at_by_member[member]
                group.generation += 1
                if group.owner == member:
                    group.owner = ""
