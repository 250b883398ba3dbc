"""What a controller needs from the entry and from outside of it."""

from collections.abc import Callable

from sardinedrift.engine.catalogue import JobCatalogue
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.events import EventLog
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.model import WorkerId
from sardinedrift.engine.ports import (
    AdviceService,
    MachineService,
    PublishedState,
    RegisteredWorker,
    WaveReports,
    WorkerOrders,
)
from sardinedrift.engine.storeports import RecordStore


class Ports:
    """Implementations of the ports that a controller uses.

    Attributes:
        store: stores decisions.
        workers: sends orders to workers.
        registrations: makes a feed of worker registrations for a listener.
            The listener is called with each worker id and its registration,
            or None when that was removed.
        machines: lists machines and orders moves and upkeep.
        advice: issues tickets for starts.
        reports: receives reports on waves.
    """

    def __init__(
        self,
        store: RecordStore,
        workers: WorkerOrders,
        registrations: Callable[
            [Callable[[WorkerId, RegisteredWorker | None], None]], Feed
        ],
        machines: MachineService,
        advice: AdviceService,
        reports: WaveReports,
    ):
        self.store = store
        self.workers = workers
        self.registrations = registrations
        self.machines = machines
        self.advice = advice
        self.reports = reports


class ControllerDependencies:
    """Dependencies of a controller that are the same in every term.

    Args:
        topic: keyed topic of the jobs.
        job_feed: feed that fills the catalogue.
        catalogue: the known jobs.
        published: configuration and waves published by operators.
        ports: the ports.
        clock: source of the current time.
        log: receives log lines.
        metrics: metrics of the entry.
        machine_cooldown_s: time in seconds after a change of controllers
            during which machines get no orders.
        status_s: time in seconds for which the state of an ended job is kept.
        max_lease_ms: longest lease that workers grant, in ms.
    """

    def __init__(
        self,
        topic: str,
        job_feed: Feed,
        catalogue: JobCatalogue,
        published: PublishedState,
        ports: Ports,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        machine_cooldown_s: float,
        status_s: float,
        max_lease_ms: int,
    ):
        self.topic = topic
        self.job_feed = job_feed
        self.catalogue = catalogue
        self.published = published
        self.ports = ports
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.machine_cooldown_s = machine_cooldown_s
        self.status_s = status_s
        self.max_lease_ms = max_lease_ms
