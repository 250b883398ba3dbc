"""Divides the tasks of a large job into blocks that are recorded separately.

The store limits the size of a record. A job with few tasks has one progress
record, with all its tasks. A larger job has a record for each block of tasks,
and only changed blocks are written.
"""

from typing import NamedTuple

from sardinedrift.engine.model import Submission, TaskId, TaskRecord

# Maximum number of tasks in a record.
MAX_BLOCK_TASKS = 128
# Maximum size of a saved checkpoint, in bytes. Together with the ids of its
# worker and machine it bounds the size of a task's row.
MAX_CHECKPOINT_BYTES = 1024


class BlockId(NamedTuple):
    """Identity of a block among the tasks of a job.

    Attributes:
        number: position of the block in its step, from 0 on.
    """

    occurrence: int
    step: int
    number: int


class TaskBlock(NamedTuple):
    """Records of the tasks of a block that have had a run."""

    block_id: BlockId
    records: tuple[TaskRecord, ...]


def block_of(task_id: TaskId) -> BlockId:
    """Returns the block that a task belongs to."""
    return BlockId(
        task_id.occurrence, task_id.step, task_id.index // MAX_BLOCK_TASKS
    )


def is_divided(submission: Submission) -> bool:
    """Whether the tasks of a job are recorded in blocks."""
    count = sum(step.count for step in submission.steps)
    return count * max(1, submission.repeats) > MAX_BLOCK_TASKS


def is_recordable(checkpoint: str) -> bool:
    """Whether the size of a checkpoint is within the limit."""
    # A character takes up to four bytes.
    return len(checkpoint) <= MAX_CHECKPOINT_BYTES // 4 or (
        len(checkpoint.encode(errors="replace")) <= MAX_CHECKPOINT_BYTES
    )


def format_block_id(block_id: BlockId) -> str:
    """Returns the text form of a block's id, for use in a key."""
    return ".".join(str(part) for part in block_id)


def parse_block_id(text: str) -> BlockId:
    """Returns the block's id that has a text form.

    Raises:
        ValueError: the text is malformed.
    """
    occurrence, step, number = text.split(".")
    return BlockId(int(occurrence), int(step), int(number))
