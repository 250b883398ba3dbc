"""Bounds the orders in flight by what the controller can handle."""

import asyncio
import contextlib
import enum
import heapq
import itertools
from collections.abc import AsyncIterator

MIN_LIMIT = 4.0
INITIAL_LIMIT = 64.0
MAX_LIMIT = 256.0
# Interval at which the lateness of the event loop is measured.
MEASURE_INTERVAL_S = 0.05
# A loop that is later than this has more work than processor time.
MAX_LATENESS_S = 0.05
# Change of the limit at each measurement: additive when the loop is on time,
# multiplicative when it is late.
INCREASE = 4.0
DECREASE = 0.7


class OrderClass(enum.IntEnum):
    """Class of an order, most urgent first."""

    STOP = 0
    START = 1


class OrderLimiter:
    """Limits the orders in flight, the most urgent ones first.

    Orders beyond the limit wait here and not in the event loop, where they
    would delay the renewals of leases. The limit rises by addition while the
    event loop is on time, and falls by multiplication while it is late; a slow
    answer alone does not lower it, as it may be due to the worker. Reports are
    not limited here: each worker has at most one call for them, and they renew
    its lease.

    Attributes:
        limit: number of orders that may be in flight.
    """

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._in_flight = 0
        self._order = itertools.count()
        self._waiting: list[tuple[OrderClass, int, asyncio.Future]] = []

    @property
    def free(self) -> int:
        """Number of orders that could be sent at once."""
        return max(0, int(self.limit) - self._in_flight - len(self._waiting))

    @property
    def lowered(self) -> bool:
        """Whether the limit has fallen because the event loop was late."""
        return self.limit < INITIAL_LIMIT

    @contextlib.asynccontextmanager
    async def slot(self, order_class: OrderClass) -> AsyncIterator[None]:
        """Waits until an order of a class may be sent.

        The order is in flight within the context.
        """
        if self._waiting or self._in_flight >= int(self.limit):
            await self._wait_turn(order_class)
        else:
            self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._admit()

    async def measure(self) -> None:
        """Adjusts the limit to the lateness of the event loop, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + MEASURE_INTERVAL_S
            await asyncio.sleep(MEASURE_INTERVAL_S)
            self.adjust(loop.time() - due)

    def adjust(self, lateness_s: float) -> None:
        """Adjusts the limit after a measurement.

        Args:
            lateness_s: lateness of the event loop, in seconds.
        """
        if lateness_s > MAX_LATENESS_S:
            self.limit = max(MIN_LIMIT, self.limit * DECREASE)
        else:
            self.limit = min(MAX_LIMIT, self.limit + INCREASE)
        self._admit()

    async def _wait_turn(self, order_class: OrderClass) -> None:
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (order_class, next(self._order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._in_flight -= 1
                self._admit()
            raise

    def _admit(self) -> None:
        while self._waiting and self._in_flight < int(self.limit):
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                self._in_flight += 1
                turn.set_result(None)
