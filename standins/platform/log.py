"""In-memory log of the platform: topics, producers, consumer groups."""

import dataclasses

MAX_RECORD_BYTES = 262_144


class Refused(Exception):  # noqa: N818
    """A request that the log or a worker rejects.

    Attributes:
        status: HTTP status of the response, other than 200.
        body: JSON body of the response.
    """

    def __init__(self, status: int, body: dict | None = None):
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body or {}


@dataclasses.dataclass
class Producer:
    """State of an idempotent producer in a partition.

    Attributes:
        epoch: highest epoch seen; lower ones are fenced.
        sequence: number of the last append, or None before the first.
        result_by_sequence: results of the last appends, returned again when
            an append is retried.
    """

    epoch: int = 0
    sequence: int | None = None
    result_by_sequence: dict[int, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


class Partition:
    """Records addressed by offset; the oldest may have been dropped.

    A record is a length byte, a key of that length and a value. An empty
    value deletes the key.

    Attributes:
        first: offset of the oldest record that is kept.
        newest_by_key: offset and value of the newest record of each key.
    """

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
        """Appends records; returns the first one's offset and the new end."""
        offset = self.end
        for index, record in enumerate(records):
            self.records.append(record)
            self._update_newest(offset + index, record)
        return offset, self.end

    def drop_before(self, offset: int) -> None:
        """Drops the records before an offset."""
        count = max(0, min(offset, self.end) - self.first)
        del self.records[:count]
        self.first += count

    def _update_newest(self, offset: int, record: bytes) -> None:
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode(errors="replace")
        value = record[key_end:]
        if value:
            self.newest_by_key[key] = (offset, value)
        else:
            self.newest_by_key.pop(key, None)


@dataclasses.dataclass
class Group:
    """A consumer group.

    Attributes:
        generation: incremented on every change of members or owner.
        owner: name of the member that the partition is assigned to, or "".
        successor: member that gets the partition once the owner gives it up, or
            "".
        joined_at_by_member: time of the last join in seconds.
        acknowledged_by_member: generation given in the last join.
    """

    generation: int = 0
    owner: str = ""
    successor: str = ""
    joined_at_by_member: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    acknowledged_by_member: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    def remove(self, member: str) -> None:
        """Takes the partition from a member that has left or expired."""
        self.generation += 1
        if self.owner == member:
            self.owner = ""
        if self.successor == member:
            self.successor = ""


class Log:
    """All topics and consumer groups; a group assigns a single partition.

    Attributes:
        max_record_bytes: size above which a record is refused, in bytes.
    """

    def __init__(self, max_record_bytes: int = MAX_RECORD_BYTES) -> None:
        self.max_record_bytes = max_record_bytes
        self._partition_by_name: dict[tuple[str, int], Partition] = {}
        self._group_by_name: dict[str, Group] = {}

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition, created on first use."""
        return self._partition_by_name.setdefault((topic, part), Partition())

    def append(
        self,
        topic: str,
        records: list[bytes],
        producer: str | None = None,
        epoch: int = 0,
        sequence: int = 0,
    ) -> tuple[int, int]:
        """Appends all records, or none.

        Without a producer, appends are neither fenced nor deduplicated.

        Returns:
            The offset of the first record and the end of the partition.

        Raises:
            Refused: the epoch is fenced, the sequence number has a gap or a
                record is too large.
        """
        if any(len(record) > self.max_record_bytes for record in records):
            raise Refused(400, {"reason": "record_bytes"})
        partition = self.partition(topic)
        if producer is None:
            return partition.append(records)
        state = partition.producer_by_name.setdefault(producer, Producer())
        if epoch < state.epoch:
            raise Refused(409, {"reason": "fenced"})
        if epoch > state.epoch:
            state.epoch, state.sequence = epoch, None
            state.result_by_sequence.clear()
        if sequence in state.result_by_sequence:
            return state.result_by_sequence[sequence]
        if state.sequence is not None and sequence != state.sequence + 1:
            expected = state.sequence + 1
            raise Refused(409, {"reason": "seq", "seq": expected})
        result = partition.append(records)
        state.sequence = sequence
        state.result_by_sequence[sequence] = result
        while len(state.result_by_sequence) > 5:
            del state.result_by_sequence[min(state.result_by_sequence)]
        return result

    def read(self, topic: str, start: int) -> list[bytes]:
        """Returns the records from an offset on.

        Raises:
            Refused: the record at the offset has been dropped.
        """
        partition = self.partition(topic)
        if start < partition.first:
            raise Refused(410, {"first": partition.first})
        return partition.records[start - partition.first :]

    def newest(
        self, topic: str, after: str, max_rows: int = 500
    ) -> tuple[list[tuple[str, bytes, int]], bool, int]:
        """Returns the newest records of a topic by key, one page at a time.

        Args:
            topic: topic to read.
            after: key after which the page starts.
            max_rows: maximum number of rows.

        Returns:
            Rows of key, value and offset, whether there are more, and the
            end of the partition.
        """
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
        """Joins a group, or renews a membership.

        A new member becomes the owner; the earlier owner gives up the partition
        with its next join, or when its membership ends.

        Args:
            name: name of the group.
            member: name of the member.
            generation: last generation that the member has seen.
            ttl_s: age of a join at which memberships expire, in seconds.
            now: current time in seconds.

        Returns:
            The generation of the group and whether the member is the owner.
        """
        group = self._group_by_name.setdefault(name, Group())
        self._expire(group, ttl_s, now)
        if member not in group.joined_at_by_member:
            group.generation += 1
            group.successor = member
        group.joined_at_by_member[member] = now
        group.acknowledged_by_member[member] = generation
        if group.owner == member and group.successor not in ("", member):
            group.owner = ""
        if not group.owner:
            group.owner = group.successor or member
            group.successor = ""
            group.generation += 1
        return group.generation, group.owner == member

    def members(
        self, name: str, ttl_s: float, now: float
    ) -> tuple[str, list[str]]:
        """Returns the owner of a group, or "", and all its members."""
        group = self._group_by_name.setdefault(name, Group())
        self._expire(group, ttl_s, now)
        return group.owner, list(group.joined_at_by_member)

    def rebalance(self, name: str) -> None:
        """Revokes the partition; the next member to join becomes the owner."""
        group = self._group_by_name.setdefault(name, Group())
        group.owner = ""
        group.generation += 1

    def leave(self, name: str, member: str) -> None:
        """Leaves a group."""
        group = self._group_by_name.setdefault(name, Group())
        if group.joined_at_by_member.pop(member, None) is not None:
            group.remove(member)

    def _expire(self, group: Group, ttl_s: float, now: float) -> None:
        for member, joined_at in list(group.joined_at_by_member.items()):
            if now - joined_at > ttl_s:
                del group.joined_at_by_member[member]
                group.remove(member)
