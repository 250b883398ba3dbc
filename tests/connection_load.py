"""Calls to responding and unresponsive addresses at the same time.

Run as a program, with a seed, because a fault in the use of descriptors ends
the whole process. Prints the number of calls by outcome.
"""

import asyncio
import collections
import contextlib
import random
import socket
import sys

import msgspec

from sardinedrift.platform.http import HttpClient, NoResponse, NotSent
from sardinedrift.runtime import new_event_loop

SERVERS = 20
CONCURRENT_CALLERS = 100
CALLS_PER_CALLER = 40
UNRESPONSIVE_SHARE = 0.6
CANCELLED_SHARE = 0.3
MAX_CONNECT_S = 0.05
MAX_RESPONSE_S = 0.01
RESPONSE_TIMEOUT_S = 5.0


class CallLoad:
    """Sends calls and counts their outcomes.

    Args:
        seed: seed of the random choices.
    """

    def __init__(self, seed: int):
        self._random = random.Random(seed)
        self._next_tag = 0
        self.count_by_outcome: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Sends all calls."""
        asyncio.get_running_loop().set_exception_handler(self._on_loop_error)
        # Few connections that calls wait for, and one for each call.
        clients = HttpClient(4), HttpClient(CONCURRENT_CALLERS)
        servers = [
            await asyncio.start_server(self._echo, "127.0.0.1", 0)
            for _ in range(SERVERS)
        ]
        addresses = [
            "{}:{}".format(*server.sockets[0].getsockname())
            for server in servers
        ]
        with _full_backlog() as unresponsive:
            callers = (
                self._call_repeatedly(clients, addresses, unresponsive)
                for _ in range(CONCURRENT_CALLERS)
            )
            await asyncio.gather(*callers)
        for client in clients:
            await client.aclose()

    def _on_loop_error(self, loop, context) -> None:
        self.count_by_outcome[f"loop_error: {context}"] += 1

    async def _call_repeatedly(
        self,
        clients: tuple[HttpClient, HttpClient],
        addresses: list[str],
        unresponsive: str,
    ) -> None:
        choose = self._random.random
        for _ in range(CALLS_PER_CALLER):
            address, limit_s = unresponsive, choose() * MAX_CONNECT_S
            if choose() >= UNRESPONSIVE_SHARE:
                address = self._random.choice(addresses)
                limit_s = choose() * MAX_RESPONSE_S
                if choose() >= CANCELLED_SHARE:
                    limit_s = RESPONSE_TIMEOUT_S
            # Cancelling the call cancels its attempt to connect.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(limit_s):
                    await self._call(self._random.choice(clients), address)

    async def _call(self, client: HttpClient, address: str) -> None:
        self._next_tag += 1
        tag = str(self._next_tag)
        try:
            response = await client.call(
                "POST",
                address,
                f"/{tag}",
                RESPONSE_TIMEOUT_S,
            )
        except (NotSent, NoResponse) as error:
            self.count_by_outcome[type(error).__name__] += 1
        else:
            own = response.body == tag.encode()
            self.count_by_outcome["own" if own else "foreign"] += 1

    async def _echo(self, reader, writer) -> None:
        """Responds with the path of each request."""
        with contextlib.suppress(
            asyncio.IncompleteReadError, OSError, RuntimeError
        ):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                tag = head.split(b" ")[1][1:]
                await asyncio.sleep(self._random.random() * 0.01)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(tag), tag)
                )
        writer.close()


@contextlib.contextmanager
def _full_backlog():
    """Yields an address that accepts no connection."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(8):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield "{}:{}".format(*listener.getsockname())


def main() -> None:
    """Runs the load with the seed on the command line."""
    load = CallLoad(int(sys.argv[1]))
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(load.run())
    print(msgspec.json.encode(load.count_by_outcome).decode())


if __name__ == "__main__":
    main()
