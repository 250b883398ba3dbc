"""Applies the evacuations of data centres to the workers of a term."""

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.identifiers import DataCentreId


class EvacuationReview:
    """Marks the workers of the data centres that are being evacuated.

    A marked worker accepts no work, and starts for it that have not been sent
    are withdrawn (`Orders`).

    Args:
        control: state of the term.
    """

    def __init__(self, control: ControllerState):
        self._control = control

    def review(self) -> None:
        """Applies the evacuations that have begun or been withdrawn."""
        control = self._control
        evacuated = control.published.evacuated
        changed = evacuated ^ control.fleet.evacuated
        if not changed:
            return
        control.fleet.set_evacuated(evacuated)
        for data_centre_id in sorted(changed):
            self._log_change(data_centre_id, data_centre_id in evacuated)
        control.changed.set()

    def _log_change(self, data_centre_id: DataCentreId, begun: bool) -> None:
        workers = self._control.fleet.of_data_centre(data_centre_id)
        self._control.log.write(
            Event.EVACUATION,
            data_centre=data_centre_id,
            begun=begun,
            workers=len(workers),
            runs=sum(len(worker.run_by_task) for worker in workers),
            feed_age_s=round(self._control.published.age, 3),
        )
