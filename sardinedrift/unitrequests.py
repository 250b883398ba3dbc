"""Requests for allowance units from peers."""

import asyncio
import contextlib

from sardinedrift.exceptions import PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import EntryId, Identity, TeamId
from sardinedrift.messages import Acknowledged, AllowanceRequest
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock

_REQUEST_TIMEOUT_SECONDS = 2.0


class UnitRequester:
    """Requests units from the peers that hold them.

    Args:
        identity: this entry.
        follower: provides the folded state.
        peers: other entries and their latest exchanges.
        clock: source of the current time.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        peers: Peers,
        clock: Clock,
    ):
        self._identity = identity
        self._follower = follower
        self._peers = peers
        self._clock = clock

    async def request(self, missing_by_team: dict[TeamId, int]) -> None:
        """Asks one peer per team for the units that are missing."""
        missing_by_team_by_peer: dict[EntryId, dict[TeamId, int]] = {}
        for team_id, missing in missing_by_team.items():
            peer = self._peer_with_most_spare_units(team_id)
            if peer:
                missing_by_team_by_peer.setdefault(peer, {})[team_id] = missing
        requests = (
            self._request(*item) for item in missing_by_team_by_peer.items()
        )
        await asyncio.gather(*requests)

    async def _request(
        self, peer: EntryId, units_by_team: dict[TeamId, int]
    ) -> None:
        """Asks a peer for units.

        Errors are ignored: the next step repeats the request if units are
        still missing.
        """
        request = AllowanceRequest(
            entry_id=self._identity.entry_id, units_by_team=units_by_team
        )
        deadline = self._clock.now() + _REQUEST_TIMEOUT_SECONDS
        with contextlib.suppress(PeerError):
            await self._peers.call(
                peer, "/peer/allowances", request, Acknowledged, deadline
            )

    def _peer_with_most_spare_units(self, team_id: TeamId) -> EntryId | None:
        """Returns the reachable holder with the most spare units.

        Among holders with equally many spare units, the one with the most
        units in total is chosen.
        """
        rows = self._follower.state.tables.allowances_by_team
        best: tuple[int, int, EntryId] | None = None
        for entry_id, units in rows[team_id].units_by_entry.items():
            if entry_id == self._identity.entry_id:
                continue
            exchange = self._peers.exchange_of(entry_id)
            if exchange is None or exchange.stopping:
                continue
            spare = exchange.spare_by_team.get(team_id, 0)
            best = max(best or (0, 0, entry_id), (spare, units, entry_id))
        return best[2] if best else None
