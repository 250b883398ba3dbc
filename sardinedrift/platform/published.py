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
from sardinedrift.engine.storeports import RecordStore
from sardinedrift.identifiers import DataCentreId
from sardinedrift.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    WAVE_PREFIX,
    check_evacuation,
    decode_configuration,
    decode_wave,
    evacuated_data_centre,
)
from sardinedrift.platform.store import (
    OPERATOR_TOPIC,
    WORKERS_TOPIC,
    LogStore,
)
from sardinedrift.platform.workers import decode_registration


class PublishedView(PublishedState):
    """The published state, built from the records of the operators' topic.

    Attributes:
        feed: feed of that topic, which the entry runs.
    """

    def __init__(
        self, store: RecordStore, clock: Clock, log: EventLog, metrics: Metrics
    ):
        self._log = log
        self._metrics = metrics
        self._configuration: Configuration | None = None
        self.wave_by_number: dict[WaveNumber, WaveOrder] = {}
        self.evacuated: frozenset[DataCentreId] = frozenset()
        self.feed = Feed(store, OPERATOR_TOPIC, self.apply_record, clock, log)

    @property
    def loaded(self) -> bool:
        """Whether all records have been read at least once."""
        return self.feed.ever_loaded

    @property
    def age(self) -> float:
        """Seconds since the state was last known to be current."""
        return self.feed.age

    async def refresh(self, timeout_s: float) -> None:
        """Reads the records that have been published so far."""
        await self.feed.try_refresh(timeout_s)

    def current(self) -> Configuration | None:
        """Returns the newest configuration, or None before the first."""
        return self._configuration

    def apply_record(self, key: str, value: bytes | None) -> None:
        """Applies a record that operators published.

        A record that cannot be decoded is counted and logged. That of an
        evacuation then counts as withdrawn; others leave the earlier state in
        force.
        """
        try:
            if key.startswith(EVACUATION_PREFIX):
                self._apply_evacuation(key, value)
            elif value is None:
                # Removing another record only drops history; what it published
                # stays in force.
                return
            elif key == CONFIGURATION_KEY:
                self._apply_configuration(decode_configuration(value))
            elif key.startswith(WAVE_PREFIX):
                wave = decode_wave(value)
                self.wave_by_number[wave.number] = wave
        except (msgspec.DecodeError, ValueError) as error:
            self._report_ignored(key, error)

    def _apply_evacuation(self, key: str, value: bytes | None) -> None:
        """Applies the newest record of an evacuation.

        A record that cannot be decoded replaces the one before it as well, as
        an entry that starts later sees only the newest record.
        """
        data_centre_id = evacuated_data_centre(key)
        self.evacuated -= {data_centre_id}
        if value is None:
            return
        if data_centre_id is None:
            raise ValueError("the key names no data centre")
        check_evacuation(value)
        self.evacuated |= {data_centre_id}

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
            return decode_registration(key, value, self._clock.boot())
        except (msgspec.DecodeError, ValueError) as error:
            self._metrics.ignored_entries.labels("worker").inc()
            self._log.write(Event.ENTRY_IGNORED, key=key, error=repr(error))
            return None
