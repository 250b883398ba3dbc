"""Logs when a dependency is lost and when it is reached again."""

from typing import Any

from sardinedrift.engine.events import Event, EventLog


class DependencyLog:
    """Writes one line for each change, and none while nothing changes.

    Args:
        log: receives the lines.
        dependency: name of the dependency.
        **fields: further fields of each line.

    Attributes:
        lost: the last attempt to reach the dependency failed.
    """

    def __init__(self, log: EventLog, dependency: str, **fields: Any):
        self.lost = False
        self._log = log
        self._fields = {"dependency": dependency, **fields}

    def record_loss(self, error: Exception, **fields: Any) -> None:
        """Records a failed attempt.

        Args:
            error: why it failed.
            **fields: further fields of the line.
        """
        if self.lost:
            return
        self.lost = True
        self._log.write(
            Event.DEPENDENCY_LOST, **self._fields, **fields, error=repr(error)
        )

    def record_success(self) -> None:
        """Records an attempt that succeeded."""
        if self.lost:
            self.lost = False
            self._log.write(Event.DEPENDENCY_BACK, **self._fields)
