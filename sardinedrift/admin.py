"""The HTTP application for operators.

It has no authentication and must be bound to the operators' network.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from sardinedrift import adminchanges, adminviews, timeline
from sardinedrift import changes as ch
from sardinedrift.exceptions import (
    LogUnavailable,
    PeerError,
    PublishUnknown,
    StateError,
)
from sardinedrift.follower import Follower
from sardinedrift.identifiers import EntryId, EntryState, Identity
from sardinedrift.metrics import CONTENT_TYPE, Metrics
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher

MAX_BODY_BYTES = 8 << 20
DEFAULT_PUBLISH_TIMEOUT_SECONDS = 10.0
MAX_PUBLISH_TIMEOUT_SECONDS = 60.0
DEFAULT_PAGE_ROWS = 1000
MAX_PAGE_ROWS = 5000
MERGE_TIMEOUT_SECONDS = 2.0

_encode = msgspec.json.Encoder().encode


class Admin:
    """Serves operators from the state of this entry.

    Args:
        identity: this entry.
        follower: holds the state.
        publisher: publishes changes.
        peers: the other entries.
        clock: source of the time.
        events: timeline of this entry.
        metrics: metrics of this entry.
        not_ready_reason: returns why this entry is not ready; "" if it is.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        clock: Clock,
        events: timeline.Timeline,
        metrics: Metrics,
        not_ready_reason: Callable[[], str],
    ):
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._not_ready_reason = not_ready_reason

    def application(self) -> web.Application:
        """Returns the application with all routes."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/changes", self._post_changes),
                web.get("/v1/status", self._get_status),
                web.get("/v1/timeline", self._get_timeline),
                web.get("/v1/{collection}", self._get_collection),
                web.get("/v1/{collection}/{object_id}", self._get_object),
                web.get("/metrics", self._get_metrics),
                web.get("/ready", self._get_ready),
            ]
        )
        return app

    async def _post_changes(self, request: web.Request) -> web.Response:
        try:
            posted = adminchanges.decode(await request.read())
        except StateError as error:
            return _error(400, error.code, str(error), error.field)
        except web.HTTPRequestEntityTooLarge as error:
            return _error(413, "too_large", str(error.text))
        if posted.deadline and posted.deadline <= self._clock.now():
            return _error(400, "malformed", "has passed already", "deadline")
        reason = self._not_ready_reason()
        if reason:
            return _error(503, "not_ready", reason)
        return await self._publish(posted)

    async def _publish(
        self, posted: adminchanges.PostedChanges
    ) -> web.Response:
        now = self._clock.now()
        deadline = posted.deadline or now + DEFAULT_PUBLISH_TIMEOUT_SECONDS
        deadline = min(deadline, now + MAX_PUBLISH_TIMEOUT_SECONDS)
        try:
            results = await self._publisher.publish(
                posted.changes, deadline, atomic=posted.atomic
            )
        except LogUnavailable as error:
            return _error(503, "log_unavailable", str(error))
        except PublishUnknown as error:
            self._record_unknown_outcome(posted)
            return _error(
                504,
                "unknown",
                f"{error}; repeat it with the same change ids",
            )
        accepted = all(result.accepted for result in results)
        for result in results:
            self._record_result(result)
        return _json({"results": results}, 200 if accepted else 409)

    def _record_result(self, result: ch.Result) -> None:
        kind = timeline.EventKind.CHANGE_REJECTED
        if result.accepted:
            kind = timeline.EventKind.CHANGE_ACCEPTED
        detail = " ".join(filter(None, (result.change_id, result.code)))
        self._events.record(kind, self._follower.state.offset, detail)

    def _record_unknown_outcome(
        self, posted: adminchanges.PostedChanges
    ) -> None:
        for change in posted.changes:
            self._events.record(
                timeline.EventKind.CHANGE_UNKNOWN,
                self._follower.state.offset,
                change.change_id,
            )

    async def _get_collection(self, request: web.Request) -> web.Response:
        collection = request.match_info["collection"]
        if collection not in adminviews.COLLECTIONS:
            return _unknown_collection(collection)
        query = dict(request.query)
        after = query.pop("after", "")
        limit_text = query.pop("limit", str(DEFAULT_PAGE_ROWS))
        if not limit_text.isdecimal() or not int(limit_text):
            return _error(400, "malformed", "must be above 0", "limit")
        limit = min(int(limit_text), MAX_PAGE_ROWS)
        for name in query:
            if name not in adminviews.filter_fields(collection):
                known = ", ".join(adminviews.filter_fields(collection))
                return _error(
                    400, "malformed", f"no such field; there are: {known}", name
                )
        state = self._follower.state
        pairs = list(
            itertools.islice(
                (
                    pair
                    for pair in adminviews.rows_after(state, collection, after)
                    if _matches(pair[1], query)
                ),
                limit + 1,
            )
        )
        next_id = pairs[limit - 1][0] if len(pairs) > limit else None
        items = [row for _, row in pairs[:limit]]
        return _json({"offset": state.offset, "items": items, "next": next_id})

    async def _get_object(self, request: web.Request) -> web.Response:
        collection = request.match_info["collection"]
        object_id = request.match_info["object_id"]
        if collection not in adminviews.COLLECTIONS:
            return _unknown_collection(collection)
        state = self._follower.state
        row = adminviews.find_row(state, collection, object_id)
        if row is None:
            return _error(
                404, "not_found", f"no {object_id!r} among the {collection}"
            )
        return _json({"offset": state.offset, "item": row})

    async def _get_status(self, request: web.Request) -> web.Response:
        state = self._follower.state
        reason = self._not_ready_reason()
        return _json(
            {
                "entry_id": self._identity.entry_id,
                "data_centre_id": self._identity.data_centre_id,
                "ready": not reason,
                "reason": reason,
                "member": self._identity.entry_id
                in state.active_entries(self._identity.data_centre_id),
                "offset": state.offset,
                "configuration_age": self._configuration_age(),
                "data_centres": self._entry_statuses(),
                "waiting_drains": adminviews.waiting_drains(state),
                "waiting_joins": adminviews.waiting_joins(state),
            }
        )

    def _entry_statuses(self) -> dict[str, list[dict[str, Any]]]:
        """Returns the status of each live entry, by data centre."""
        rows_by_data_centre = {}
        tables = self._follower.state.tables
        data_centre_ids = {
            self._identity.data_centre_id,
            *tables.data_centre_by_id,
        }
        for data_centre_id in sorted(data_centre_ids):
            rows_by_data_centre[data_centre_id] = [
                self._entry_status(entry_id)
                for entry_id in sorted(self._peers.live(data_centre_id))
            ]
        return rows_by_data_centre

    def _entry_status(self, entry_id: EntryId) -> dict[str, Any]:
        if entry_id == self._identity.entry_id:
            return {
                "entry_id": entry_id,
                "offset": self._follower.state.offset,
                "ready": not self._not_ready_reason(),
                "configuration_age": self._configuration_age(),
            }
        exchange = self._peers.exchange_of(entry_id)
        if exchange is None:
            return {"entry_id": entry_id, "offset": None}
        return {
            "entry_id": entry_id,
            "offset": exchange.offset,
            "ready": exchange.ready,
            "configuration_age": max(
                0.0, self._clock.now() - exchange.current_at
            ),
        }

    def _configuration_age(self) -> float | None:
        current_at = self._follower.current_at
        # 0 means that the end of the log has not been reached yet.
        if not current_at:
            return None
        return max(0.0, self._clock.now() - current_at)

    async def _get_timeline(self, request: web.Request) -> web.Response:
        query = dict(request.query)
        merged = query.pop("all", "0") == "1"
        try:
            selection = msgspec.convert(query, timeline.Filter, strict=False)
        except msgspec.ValidationError as error:
            return _error(400, "malformed", str(error))
        unknown = set(query) - set(timeline.Filter.__struct_fields__)
        if unknown or selection.limit < 1:
            return _error(400, "malformed", "unknown or wrong filter")
        if not merged:
            events = self._events.select(selection)
            return _json({"events": events, "unreachable": []})
        return await self._merged_timeline(selection)

    async def _merged_timeline(
        self, selection: timeline.Filter
    ) -> web.Response:
        others = self._other_entries()
        answers = await asyncio.gather(
            *(self._fetch_timeline(each, selection) for each in others)
        )
        timelines = [self._events.select(selection)]
        timelines += [answer for answer in answers if answer is not None]
        unreachable = [
            entry_id
            for entry_id, answer in zip(others, answers, strict=True)
            if answer is None
        ]
        events = timeline.latest(timeline.merge(timelines), selection.limit)
        return _json({"events": list(events), "unreachable": unreachable})

    def _other_entries(self) -> list[EntryId]:
        tables = self._follower.state.tables
        entry_ids = {
            entry.entry_id
            for entry in tables.entry_by_id.values()
            if entry.state is not EntryState.GONE
        }
        # Live entries that have not joined yet are not in the state.
        for data_centre_id in tables.data_centre_by_id:
            entry_ids.update(self._peers.live(data_centre_id))
        return sorted(entry_ids - {self._identity.entry_id})

    async def _fetch_timeline(
        self, entry_id: EntryId, selection: timeline.Filter
    ) -> list[timeline.Event] | None:
        deadline = self._clock.now() + MERGE_TIMEOUT_SECONDS
        try:
            reply = await self._peers.call(
                entry_id,
                timeline.PEER_PATH,
                selection,
                timeline.TimelineReply,
                deadline,
            )
        except PeerError:
            return None
        return reply.events

    async def _get_metrics(self, request: web.Request) -> web.Response:
        age = self._configuration_age()
        self._metrics.refresh(
            self._follower.state, float("inf") if age is None else age
        )
        return web.Response(
            body=self._metrics.render(),
            headers={"Content-Type": CONTENT_TYPE},
        )

    async def _get_ready(self, request: web.Request) -> web.Response:
        reason = self._not_ready_reason()
        return _json(
            {"ready": not reason, "reason": reason}, 503 if reason else 200
        )


def _matches(row: dict[str, Any], query: dict[str, str]) -> bool:
    """Returns whether the fields of a row, as text, equal those of a query."""
    return all(str(row.get(name)) == text for name, text in query.items())


def _unknown_collection(collection: str) -> web.Response:
    known = ", ".join(adminviews.COLLECTIONS)
    return _error(404, "not_found", f"no {collection!r}; there are: {known}")


def _error(
    status: int, code: str, message: str, field: str = ""
) -> web.Response:
    return _json({"code": code, "message": message, "field": field}, status)


def _json(content: Any, status: int = 200) -> web.Response:
    return web.Response(
        body=_encode(content), status=status, content_type="application/json"
    )
