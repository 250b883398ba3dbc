"""Reviews the upkeep waves and begins the upkeep of their machines."""

from collections.abc import Callable

from sardinedrift.engine import upkeep
from sardinedrift.engine.catalogue import WaveRecord, wave_record
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.machineinventory import MachineInventory, Operation
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.ports import MachineState, WaveOrder


class WaveReview:
    """Carries out the waves within their limits on machines and time.

    Args:
        control: state of the term.
        inventory: known machines and operations in progress.
        begin: begins an operation.
        report: reports to operators that a wave is in progress (False) or
            completed (True).
    """

    def __init__(
        self,
        control: ControllerState,
        inventory: MachineInventory,
        begin: Callable[[Operation], None],
        report: Callable[[WaveNumber, bool], None],
    ):
        self._control = control
        self._inventory = inventory
        self._begin = begin
        self._report = report
        self._first_seen_at: dict[WaveNumber, float] = {}
        self._started_by_wave: dict[WaveNumber, set[MachineId]] = {}
        self._completed: set[WaveNumber] = set()
        for number, record in control.catalogue.wave_by_number.items():
            self._started_by_wave[number] = set(record.begun)
            if record.completed:
                self._completed.add(number)

    def record_started(self, machine_id: MachineId, number: WaveNumber) -> None:
        """Records that the upkeep of a machine has started."""
        self._started_by_wave.setdefault(number, set()).add(machine_id)
        self._record_wave(number)

    def review(self) -> None:
        """Begins the upkeep of machines whose turn has come."""
        now = self._control.clock.boot()
        waves = self._control.published.wave_by_number
        for number, wave in waves.items():
            if number in self._completed:
                continue
            if number not in self._first_seen_at:
                self._first_seen_at[number] = now
                self._report(number, False)
            self._review_wave(wave, now)

    def _review_wave(self, wave: WaveOrder, now: float) -> None:
        started = self._started_by_wave.setdefault(wave.number, set())
        remaining = [
            machine_id
            for machine_id in wave.machine_ids
            if machine_id in self._inventory.machine_by_id
            and machine_id not in started
        ]
        operations = [
            each
            for each in self._inventory.operation_by_id.values()
            if each.wave == wave.number
        ]
        if not remaining and not operations:
            self._complete(wave)
            return
        urgent = now > self._first_seen_at[wave.number] + wave.duration_s - (
            upkeep.URGENT_S
        )
        for operation in operations:
            operation.urgent = urgent
        ordered = sum(1 for each in operations if each.ordered)
        draining = len(operations) - ordered
        down = ordered + self._count_down_before(wave)
        machines = [
            self._wave_machine(machine_id)
            for machine_id in remaining
            if machine_id not in self._inventory.operation_by_id
            and not self._inventory.in_cooldown(machine_id)
        ]
        for machine_id in upkeep.choose_next(
            machines, draining, down, wave.max_down
        ):
            operation = Operation(machine_id, wave=wave.number, urgent=urgent)
            self._control.log.write(
                Event.RESERVED,
                machine=machine_id,
                pool=self._inventory.machine_by_id[machine_id].pool_id,
                wave=wave.number,
                left=len(remaining),
                down=down,
                most=wave.max_down,
            )
            self._begin(operation)

    def _count_down_before(self, wave: WaveOrder) -> int:
        """Returns the number of upkeeps ordered by earlier controllers."""
        machines = (
            self._inventory.machine_by_id.get(machine_id)
            for machine_id in wave.machine_ids
            if machine_id not in self._inventory.operation_by_id
        )
        return sum(
            1
            for machine in machines
            if machine is not None and machine.state is MachineState.UPKEEP
        )

    def _wave_machine(self, machine_id: MachineId) -> upkeep.WaveMachine:
        worker = self._control.fleet.current_worker_on(machine_id)
        runs = list(worker.run_by_task.values()) if worker else []
        return upkeep.WaveMachine(
            machine_id,
            self._inventory.machine_by_id[machine_id].state is MachineState.UP,
            len(runs),
            sum(1 for run in runs if run.task.step.long_running),
        )

    def _complete(self, wave: WaveOrder) -> None:
        self._completed.add(wave.number)
        self._record_wave(wave.number)
        self._control.log.write(Event.WAVE, wave=wave.number, completed=True)
        self._control.writer.call_when_durable(
            lambda: self._report(wave.number, True)
        )

    def _record_wave(self, number: WaveNumber) -> None:
        record = WaveRecord(
            tuple(sorted(self._started_by_wave.get(number, ()))),
            number in self._completed,
        )
        self._control.writer.add_record(wave_record(number, record))
