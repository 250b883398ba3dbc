"""Reports to the log which instances of a data centre are up."""

import asyncio
import uuid
from collections.abc import Iterator

from loguru import logger

from sardinedrift import changes as ch
from sardinedrift.exceptions import SardinedriftError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import ChangeId, Identity, InstanceId
from sardinedrift.instancelist import InstanceView
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher
from sardinedrift.routing import rendezvous

# A difference must last for this long before it is reported, so that a list
# read during a restart causes no records.
REPORT_DELAY_SECONDS = 1.0
# The other members report a difference that lasts for this long.
FALLBACK_REPORT_DELAY_SECONDS = 5.0
_POLL_INTERVAL_SECONDS = 0.25
_PUBLISH_TIMEOUT_SECONDS = 5.0


class InstanceObserver:
    """Publishes `InstanceObserved` for changes seen in the instance list.

    One live member of the data centre reports a difference. The others report
    it if it persists, because the chosen member may be the only one that is cut
    off from the platform. Duplicate reports of a difference are harmless.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        view: InstanceView,
        clock: Clock,
    ):
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._view = view
        self._clock = clock
        self._different_since_by_id: dict[InstanceId, float] = {}

    async def run(self) -> None:
        """Publishes differences until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            if not self._view.reachable:
                self._different_since_by_id.clear()
                continue
            changes = tuple(self._lasting_differences(self._report_delay()))
            if not changes:
                continue
            try:
                await self._publisher.publish(
                    changes, self._clock.now() + _PUBLISH_TIMEOUT_SECONDS
                )
            except SardinedriftError as error:
                logger.debug(
                    "could not publish instance observations: {}", error
                )

    def _report_delay(self) -> float:
        """Returns how long a difference must last to be reported here."""
        data_centre_id = self._identity.data_centre_id
        members = self._peers.live_members(data_centre_id)
        reporter = rendezvous(f"observer/{data_centre_id}", members)
        if reporter == self._identity.entry_id:
            return REPORT_DELAY_SECONDS
        return FALLBACK_REPORT_DELAY_SECONDS

    def _lasting_differences(
        self, delay: float
    ) -> Iterator[ch.InstanceObserved]:
        """Yields a change for each difference older than a delay in seconds."""
        now = self._clock.now()
        for instance in self._follower.state.instances_in(
            self._identity.data_centre_id
        ):
            instance_id = instance.instance_id
            up = self._view.listed(instance_id)
            if up == instance.up:
                self._different_since_by_id.pop(instance_id, None)
                continue
            since = self._different_since_by_id.setdefault(instance_id, now)
            if now >= since + delay:
                yield ch.InstanceObserved(
                    change_id=ChangeId(str(uuid.uuid4())),
                    instance_id=instance_id,
                    up=up,
                )
