"""Reports the states of waves to operators, in order and fenced by the term."""

import asyncio
import collections

import msgspec

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.exceptions import (
    SequenceExpected,
    StoreError,
    StoreFenced,
)
from sardinedrift.engine.model import WaveNumber
from sardinedrift.engine.ports import WaveReports

RETRY_DELAY_S = 0.2


class WaveState(msgspec.Struct, frozen=True):
    """State of a wave as reported to operators."""

    number: WaveNumber
    completed: bool


class WaveReporter:
    """Writes one report after the other.

    A report that is repeated after an outage must not replace a later one of
    the same controller or of its successor.

    Args:
        control: state of the term.
        reports: receives the reports.
    """

    def __init__(self, control: ControllerState, reports: WaveReports):
        self._control = control
        self._reports = reports
        self._pending: collections.deque[WaveState] = collections.deque()
        self._wake = asyncio.Event()
        self._sequence = 0

    def report(self, number: WaveNumber, completed: bool) -> None:
        """Schedules a report that a wave is in progress or completed."""
        self._pending.append(WaveState(number, completed))
        self._wake.set()

    async def run(self) -> None:
        """Writes the scheduled reports until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                await self._write(self._pending.popleft())

    async def _write(self, state: WaveState) -> None:
        term = self._control.term
        while not term.ended:
            try:
                await self._reports.report_wave(
                    state.number, state.completed, term.token, self._sequence
                )
            except StoreFenced:
                term.end()
            except SequenceExpected as error:
                self._sequence = error.expected
            except StoreError:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._sequence += 1
                return
