"""Exceptions of the job engine, by layer."""

from sardinedrift.engine.ports import Refusal
from sardinedrift.exceptions import SardinedriftError


class StoreError(SardinedriftError):
    """Base class of record store errors."""


class StoreRefused(StoreError):  # noqa: N818
    """The store rejected the call or was not reached; nothing was done."""


class RecordTooLarge(StoreRefused):
    """A record exceeds the store's limit, and so it was not sent."""


class StoreUnknown(StoreError):  # noqa: N818
    """The store did not answer; the call may still take effect."""


class StoreFenced(StoreError):  # noqa: N818
    """A controller with a higher fencing token has written."""


class SequenceExpected(StoreError):  # noqa: N818
    """The sequence number of an append is not the next one.

    Attributes:
        expected: the next sequence number.
    """

    def __init__(self, expected: int):
        super().__init__(
            f"append out of order, expected sequence number {expected}"
        )
        self.expected = expected


class RecordsExpired(StoreError):  # noqa: N818
    """The store no longer keeps the requested records."""


class OrderError(SardinedriftError):
    """Base class of errors of orders to workers and machines."""


class OrderNotSent(OrderError):  # noqa: N818
    """No connection could be opened, so the order was not received."""


class OrderUnknown(OrderError):  # noqa: N818
    """The receiver did not answer; the order may still be carried out."""


class OrderRefused(OrderError):  # noqa: N818
    """The receiver rejected the order and did nothing.

    Attributes:
        reason: reason of the rejection.
    """

    def __init__(self, reason: Refusal):
        super().__init__(reason.value)
        self.reason = reason


class CallError(SardinedriftError):
    """Error answer to a caller's request.

    Attributes:
        status: HTTP status.
        code: stable error code.
        retry_after_s: seconds after which to retry, or None.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str = "",
        retry_after_s: int | None = None,
    ):
        super().__init__(message or code)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s
