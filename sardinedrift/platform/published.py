"""Follows the records that operators and workers publish in the store."""

from collections.abc import Callable

import msgspec

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.model import Configuration, WaveNumber, WorkerId
from sardinedrift.engine.ports import (
    PublishedState,
    RegisteredWorker,
    WaveOrder,
)
from sardinedrift.platform.configuration import (
    CONFIGURATION_KEY,
    WAVE_PREFIX,
    decode_configuration,
    decode_wave,
)
from sardinedrift.platform.store import WORKERS_TOPIC, LogStore
from sardinedrift.platform.workers import decode_registration


class PublishedView(PublishedState):
    """The published state, built from the records of the operators' topic.

    Attributes:
        wave_by_number: requested waves.
    """

    def __init__(self, log: EventLog, metrics: Metrics):
        self._log = log
        self._metrics = metrics
        self._configuration: Configuration | None = None
        self.wave_by_number: dict[WaveNumber, WaveOrder] = {}

    def current(self) -> Configuration | None:
        """Returns the newest configuration, or None before the first."""
        return self._configuration

    def apply_record(self, key: str, value: bytes | None) -> None:
        """Applies a record that operators published.

        Records that cannot be decoded are counted, logged and ignored.
        """
        if value is None:
            # Removing a record only drops history; what it published stays in
            # force.
            return
        try:
            if key == CONFIGURATION_KEY:
                self._apply_configuration(decode_configuration(value))
            elif key.startswith(WAVE_PREFIX):
                wave = decode_wave(value)
                self.wave_by_number[wave.number] = wave
        except msgspec.DecodeError as error:
            self._report_ignored(key, error)

    def _apply_configuration(self, configuration: Configuration) -> None:
        current = self._configuration
        if current is not None and configuration.version < current.version:
            return
        self._configuration = configuration
        self._log.write(
            Event.CONFIGURATION,
            version=configuration.version,
            queues=len(configuration.queue_by_id),
            teams=len(configuration.team_by_id),
            keys=len(configuration.team_id_by_key),
        )

    def _report_ignored(self, key: str, error: Exception) -> None:
        self._metrics.ignored_entries.labels("operator").inc()
        self._log.write(Event.ENTRY_IGNORED, key=key, error=repr(error))


class Registrations:
    """Creates feeds of the workers' registrations."""

    def __init__(
        self, store: LogStore, clock: Clock, log: EventLog, metrics: Metrics
    ):
        self._store = store
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def make_feed(
        self, listener: Callable[[WorkerId, RegisteredWorker | None], None]
    ) -> Feed:
        """Returns a feed of registrations.

        Args:
            listener: called with the id of each changed worker and its
                registration, or None when that is removed or malformed.
        """

        def on_change(key: str, value: bytes | None) -> None:
            listener(WorkerId(key), self._decode(key, value))

        return Feed(
            self._store, WORKERS_TOPIC, on_change, self._clock, self._log
        )

    def _decode(self, key: str, value: bytes | None) -> RegisteredWorker | None:
        if value is None:
            return None
        try:
            return decode_registration(key, value)
        except (msgspec.DecodeError, ValueError) as error:
            self._metrics.ignored_entries.labels("worker").inc()
            self._log.write(Event.ENTRY_IGNORED, key=key, error=repr(error))
            return None
