"""HTTP client of the admin application for the command line.

Several addresses may be given; the next one is tried when an entry is
unreachable or cannot publish. Changes carry change ids, which make retries
idempotent.
"""

import http.client
import json
import time
import urllib.parse
from collections.abc import Iterator
from typing import Any

import msgspec

from sardinedrift import changes as ch
from sardinedrift.exceptions import (
    AdminRefused,
    AdminUnknown,
    AdminUnreachable,
)

SOCKET_TIMEOUT_SECONDS = 15.0
PUBLISH_TIMEOUT_SECONDS = 10.0
# Answers with the result of each change, which is the same at every entry.
_STATUSES_WITH_RESULTS = (200, 409)


class AdminClient:
    """Sends each call to the first entry that can serve it.

    Args:
        addresses: "ip:port" of admin listeners, in order of preference.
    """

    def __init__(self, addresses: list[str]):
        self._addresses = addresses

    def get(self, path: str, **query: str) -> dict[str, Any]:
        """Returns the JSON reply to a GET request.

        Raises:
            AdminRefused: the entry answered with an error.
            AdminUnreachable: no entry answered.
        """
        if query:
            path = f"{path}?{urllib.parse.urlencode(query)}"
        status, reply = self._call("GET", path, None)
        if status != 200:
            raise AdminRefused(_error_text(reply))
        return reply

    def rows(self, collection: str, **query: str) -> Iterator[dict[str, Any]]:
        """Yields the objects of a collection, page by page."""
        after: str | None = ""
        while after is not None:
            reply = self.get(f"/v1/{collection}", after=after, **query)
            yield from reply["items"]
            after = reply["next"]

    def find(self, collection: str, object_id: str) -> dict[str, Any] | None:
        """Returns an object, or None when it does not exist."""
        quoted = urllib.parse.quote(object_id, safe="")
        status, reply = self._call("GET", f"/v1/{collection}/{quoted}", None)
        if status == 404:
            return None
        if status != 200:
            raise AdminRefused(_error_text(reply))
        return reply["item"]

    def item(self, collection: str, object_id: str) -> dict[str, Any]:
        """Returns an object.

        Raises:
            AdminRefused: it does not exist.
        """
        row = self.find(collection, object_id)
        if row is None:
            raise AdminRefused(
                f"not_found: no {object_id!r} among the {collection}"
            )
        return row

    def publish(
        self, changes: list[ch.AnyChange], atomic: bool = False
    ) -> list[dict[str, Any]]:
        """Publishes changes and returns a result for each.

        Raises:
            AdminRefused: a change was rejected; the message has the reason.
            AdminUnreachable: no entry accepted the changes; none took effect.
            AdminUnknown: the changes may have taken effect.
        """
        body = {
            "changes": changes,
            "atomic": atomic,
            "deadline": time.time() + PUBLISH_TIMEOUT_SECONDS,
        }
        status, reply = self._call(
            "POST", "/v1/changes", msgspec.json.encode(body)
        )
        if status == 504:
            raise AdminUnknown(_error_text(reply))
        if status == 503:
            raise AdminUnreachable(_error_text(reply))
        if status == 409:
            raise AdminRefused(
                _rejection_text(reply["results"]), reply["results"]
            )
        if status != 200:
            raise AdminRefused(_error_text(reply))
        return reply["results"]

    def _call(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[int, dict[str, Any]]:
        """Returns status and reply of the first entry that can serve the call.

        A status of 503 or 504 is returned only if every entry failed. It is
        504 if any of them may have appended the changes, also if a later one
        refuses the call: only results by change are certain.

        Raises:
            AdminUnreachable: no entry answered and no changes were sent.
        """
        failures = []
        unknown = ""
        unavailable: tuple[int, dict[str, Any]] | None = None
        for address in self._addresses:
            try:
                status, reply = _send(address, method, path, body)
            except _ConnectionFailed as error:
                failures.append(f"{address}: {error}")
                continue
            except (OSError, http.client.HTTPException, ValueError) as error:
                failures.append(f"{address}: {error or type(error).__name__}")
                if body is not None:
                    unknown = failures[-1]
                continue
            if status == 504:
                unknown = f"{address}: {_error_text(reply)}"
                continue
            if status == 503:
                unavailable = (status, reply)
                continue
            if unknown and status not in _STATUSES_WITH_RESULTS:
                break
            return status, reply
        if unknown:
            return 504, {"message": unknown}
        if unavailable:
            return unavailable
        raise AdminUnreachable("; ".join(failures))


class _ConnectionFailed(Exception):  # noqa: N818
    """No connection could be opened, so nothing was sent."""


def _send(
    address: str, method: str, path: str, body: bytes | None
) -> tuple[int, dict[str, Any]]:
    connection = http.client.HTTPConnection(
        address, timeout=SOCKET_TIMEOUT_SECONDS
    )
    try:
        try:
            connection.connect()
        except OSError as error:
            raise _ConnectionFailed(str(error)) from error
        headers = {"Content-Type": "application/json"} if body else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    finally:
        connection.close()


def _error_text(reply: dict[str, Any]) -> str:
    parts = [reply.get("code"), reply.get("field"), reply.get("message")]
    return ": ".join(part for part in parts if part)


def _rejection_text(results: list[dict[str, Any]]) -> str:
    rejected = [each for each in results if not each["accepted"]]
    # `batch_rejected` only repeats that another change was rejected.
    causes = [each for each in rejected if each["code"] != "batch_rejected"]
    return "\n".join(_error_text(each) for each in causes or rejected)
