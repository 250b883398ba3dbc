"""Responses to requests that are refused because of a bound."""

import msgspec

from sardinedrift.clientrecords import Cause
from sardinedrift.identifiers import OUTCOME_HEADER, Outcome


class Refusal(msgspec.Struct, frozen=True):
    """A response that closes its connection.

    Attributes:
        code: stable error code.
        retry_after_s: time after which to try again, in seconds.
        outcome: known state of the execution, for an interface that reports
            it.
    """

    status: int
    reason: str
    code: str
    message: str
    retry_after_s: int | None = None
    outcome: Outcome | None = None

    def body(self) -> bytes:
        """Returns the body of the response."""
        fields = {"code": self.code, "message": self.message}
        if self.outcome is not None:
            fields |= {"outcome": self.outcome.value, "request_id": ""}
        return msgspec.json.encode(fields)

    def headers(self) -> dict[str, str]:
        """Returns the headers of the response."""
        headers = {"Content-Type": "application/json", "Connection": "close"}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        if self.outcome is not None:
            headers[OUTCOME_HEADER] = self.outcome.value
        return headers

    def encode(self) -> bytes:
        """Returns the whole response as it is sent."""
        body = self.body()
        headers = {**self.headers(), "Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {self.status} {self.reason}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + body


class RequestRefused(Exception):  # noqa: N818
    """A request is refused while its body is being read.

    Args:
        refusal: the response.
    """

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.code)
        self.refusal = refusal


_BUSY = Refusal(
    503,
    "Service Unavailable",
    "too_many_requests_held",
    "the request was not accepted; send it again later",
    retry_after_s=1,
)
REFUSAL_BY_CAUSE = {
    Cause.CONNECTIONS: _BUSY,
    Cause.MEMORY: _BUSY,
    Cause.INCOMPLETE_CLOSED: _BUSY,
    Cause.HEADER_BYTES: Refusal(
        431,
        "Request Header Fields Too Large",
        "header_too_large",
        "the header section is too large",
    ),
    Cause.HEADER_TIME: Refusal(
        408,
        "Request Timeout",
        "header_timeout",
        "the header section did not arrive in time",
    ),
    Cause.BODY_TIME: Refusal(
        408,
        "Request Timeout",
        "body_timeout",
        "the body did not arrive in time",
    ),
    Cause.BODY_BYTES: Refusal(
        413, "Content Too Large", "body_too_large", "the body is too large"
    ),
    Cause.MALFORMED: Refusal(
        400, "Bad Request", "malformed_request", "the request is malformed"
    ),
    Cause.CONTENT_CODING: Refusal(
        415,
        "Unsupported Media Type",
        "content_coding_not_supported",
        "the body must be sent without a content coding",
    ),
}
