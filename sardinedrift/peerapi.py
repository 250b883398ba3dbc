"""HTTP routes for requests of other entries."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import msgspec
from aiohttp import web

from sardinedrift import snapshots
from sardinedrift.exceptions import PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import Offset
from sardinedrift.jsoncodec import decode_json
from sardinedrift.messages import Exchange, RecordsReply
from sardinedrift.peers import Peers

Message = TypeVar("Message", bound=msgspec.Struct)


class RouteDependencies(NamedTuple):
    """Objects that the routes of this module use."""

    peers: Peers
    follower: Follower


def routes(dependencies: RouteDependencies) -> list[web.RouteDef]:
    """Returns the routes for exchanges, log records and snapshots."""

    async def exchange(message: Exchange) -> Exchange:
        return dependencies.peers.receive(message)

    async def records(request: web.Request) -> web.Response:
        return _records(dependencies.follower, request)

    async def snapshot(request: web.Request) -> web.Response:
        return await _snapshot(dependencies.follower)

    return [
        typed_route("/peer/exchange", Exchange, exchange),
        web.get("/peer/records", records),
        web.get("/peer/snapshot", snapshot),
    ]


def typed_route(
    path: str,
    message_type: type[Message],
    handler: Callable[[Message], Awaitable[msgspec.Struct]],
) -> web.RouteDef:
    """Returns a POST route that decodes a message and encodes the reply.

    A body that does not match `message_type` is answered with 400, a
    `PeerError` raised by the handler with 503.

    Args:
        path: the path.
        message_type: type of the message.
        handler: returns the reply to a message.
    """

    async def handle(request: web.Request) -> web.Response:
        try:
            message = decode_json(await request.read(), message_type)
        except msgspec.DecodeError as error:
            return _error_response(400, "bad_message", str(error))
        try:
            reply = await handler(message)
        except PeerError as error:
            return _error_response(503, "unavailable", str(error))
        return _json_response(200, reply)

    return web.post(path, handle)


def _records(follower: Follower, request: web.Request) -> web.Response:
    try:
        start = Offset(int(request.query["from"]))
    except (KeyError, ValueError):
        return _error_response(400, "bad_message", "from must be an offset")
    return _json_response(
        200,
        RecordsReply(
            records=follower.records_from(start),
            next=Offset(follower.state.offset + 1),
        ),
    )


async def _snapshot(follower: Follower) -> web.Response:
    if not follower.ready:
        return _error_response(503, "not_ready", follower.not_ready_reason)
    return web.Response(
        body=await snapshots.encode_in_thread(follower.state),
        content_type="application/octet-stream",
    )


def _json_response(status: int, value: msgspec.Struct) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )


def _error_response(status: int, code: str, message: str) -> web.Response:
    body = msgspec.json.encode({"code": code, "message": message})
    return web.Response(
        status=status, body=body, content_type="application/json"
    )
