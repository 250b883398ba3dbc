"""Throttles the tasks of a worker that use far more than they declared."""

from prometheus_client import Counter

from sardinedrift.ports import Clock, TaskUse, WorkerPort

# Declared sizes are estimates, so only use well above them is throttled.
OVERUSE_FACTOR = 1.5
THROTTLE_FACTOR = 0.5

_throttles = Counter(
    "sardinedrift_task_throttles_total",
    "Tasks throttled for excessive memory use.",
)


class OveruseThrottle:
    """Throttles tasks of one worker whose memory use is excessive.

    Args:
        workers: sends the orders.
        clock: source of the time.
    """

    def __init__(self, workers: WorkerPort, clock: Clock):
        self._workers = workers
        self._clock = clock
        self._throttled_at: dict[str, float] = {}
        self._peak_by_task: dict[str, float] = {}

    def peak(self, task_id: str) -> float:
        """Returns the highest reported memory use of a task, in GB."""
        return self._peak_by_task.get(task_id, 0.0)

    async def enforce(
        self,
        address: str,
        task_use: TaskUse,
        declared_gb: float,
        reported_at: float,
        deadline: float,
    ) -> bool:
        """Throttles a task once if its memory use is excessive.

        Args:
            address: "host:port" of the worker.
            task_use: the reported use of the task.
            declared_gb: memory that its job declared.
            reported_at: unix seconds as of which the use is known.
            deadline: deadline of the order, in unix seconds.

        Returns:
            Whether the use is still excessive in a report made after the
            throttling.

        Raises:
            WorkerRefused: the order was not carried out.
            WorkerUnknown: the order may have been carried out.
        """
        task_id = task_use.task_id
        self._peak_by_task[task_id] = max(
            self.peak(task_id), task_use.memory_gb
        )
        if task_use.memory_gb <= OVERUSE_FACTOR * declared_gb:
            return False
        if task_id not in self._throttled_at:
            await self._workers.throttle(
                address, task_id, THROTTLE_FACTOR, deadline
            )
            self._throttled_at[task_id] = self._clock.now()
            _throttles.inc()
            return False
        return reported_at > self._throttled_at[task_id]

    def retain(self, task_ids: set[str]) -> None:
        """Drops the records of tasks whose ids are not given."""
        for values in (self._throttled_at, self._peak_by_task):
            for task_id in values.keys() - task_ids:
                del values[task_id]
