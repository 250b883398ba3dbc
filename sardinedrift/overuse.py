"""Throttles the tasks of a worker that use far more than they declared."""

from prometheus_client import Counter

from sardinedrift.ports import Clock, TaskUse, WorkerPort

# Declared sizes are estimates; only use well above them is acted upon.
OVERUSE_FACTOR = 1.5
THROTTLE_FACTOR = 0.5

_throttles = Counter(
    "sardinedrift_task_throttles_total", "Tasks slowed down for their use."
)


class OveruseThrottle:
    """Use of the tasks on one worker.

    Args:
        workers: takes the orders.
        clock: current time.
    """

    def __init__(self, workers: WorkerPort, clock: Clock):
        self._workers = workers
        self._clock = clock
        self._throttled_at: dict[str, float] = {}
        self._peak_by_task: dict[str, float] = {}

    def peak(self, task_id: str) -> float:
        """Returns the most memory that a task was seen to use, in GB."""
        return self._peak_by_task.get(task_id, 0.0)

    async def enforce(
        self,
        address: str,
        line: TaskUse,
        declared_gb: float,
        reported_at: float,
        deadline: float,
    ) -> bool:
        """Throttles a task of excessive use; tells if that did not help.

        Args:
            address: "host:port" of the worker.
            line: the use of the task.
            declared_gb: memory that its job declared.
            reported_at: unix seconds as of which the use is known.
            deadline: of the order, in unix seconds.

        Raises:
            WorkerRefused, WorkerUnknown: the order was not carried out.
        """
        name = line.task_id
        self._peak_by_task[name] = max(self.peak(name), line.memory_gb)
        if line.memory_gb <= OVERUSE_FACTOR * declared_gb:
            return False
        if name not in self._throttled_at:
            await self._workers.throttle(
                address, name, THROTTLE_FACTOR, deadline
            )
            self._throttled_at[name] = self._clock.now()
            _throttles.inc()
            return False
        return reported_at > self._throttled_at[name]

    def retain(self, known: set[str]) -> None:
        """Drops what is remembered of all other tasks."""
        for rows in (self._throttled_at, self._peak_by_task):
            for name in rows.keys() - known:
                del rows[name]
