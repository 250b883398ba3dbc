"""A caller that sends requests to entries and records its attempts."""

import json
import random
import time
import uuid
from collections.abc import Sequence

import aiohttp

from sardinedrift.admission import new_request_id
from standins.history import Attempt
from standins.minion import answer_bytes

# Refusals of an id whose owner has ended. If they state that the request has
# not run, another id may have a live owner.
CODES_OF_OWNER = frozenset({"owner_unreachable", "owner_is_new"})
# Ids under which one request is sent.
MAX_IDS = 4
ID_TIMEOUT_SECONDS = 2.0


class Caller:
    """Sends requests of one team and records an `Attempt` for each.

    Selects entries like the platform's load balancer: each attempt goes to
    one chosen at random, or to another if that one refuses the connection.

    Args:
        team: id of the team.
        key: key with which the caller authenticates.
        addresses: caller addresses of the entries.
        seed: seed of the random choices.
        history: list to which each attempt is appended.
    """

    def __init__(
        self,
        team: str,
        key: str,
        addresses: Sequence[str],
        seed: int,
        history: list[Attempt],
    ):
        self.team = team
        self.key = key
        self.addresses = list(addresses)
        self.history = history
        self._random = random.Random(seed)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, trust_env=False
        )
        return self

    async def __aexit__(self, *_):
        await self._session.close()

    async def send(
        self,
        queue: str,
        home: str,
        *,
        run_seconds: float = 0.0,
        size: int = 64,
        wait_seconds: float = 10.0,
        idempotent: bool = False,
        address: str | None = None,
        request_id: str | None = None,
        attempt: int = 1,
    ) -> Attempt:
        """Sends one request and records the attempt.

        Args:
            queue: id of the queue.
            home: home data centre of a new request id.
            run_seconds: run time at the minion.
            size: length of the answer in bytes.
            wait_seconds: time until the deadline of the request.
            idempotent: whether the queue is idempotent, for the record.
            address: entry to use; None for one chosen at random.
            request_id: id of an earlier request to repeat; None for a new id.
            attempt: attempt number, which must increase for the same id; 0
                sends no number.
        """
        request_id = request_id or new_request_id(home)
        tag = uuid.UUID(int=self._random.getrandbits(128)).hex
        sent = time.time()
        body = {"run_seconds": run_seconds, "size": size, "tag": tag}
        outcome, code, answer_correct = await self._post_until_reached(
            [address] if address else self._shuffled_addresses(),
            queue=queue,
            body=json.dumps(body).encode(),
            headers=self._headers(request_id, sent + wait_seconds, attempt),
            expected=(tag, request_id, size),
            timeout_seconds=wait_seconds + 5.0,
        )
        result = Attempt(
            request_id=request_id,
            team=self.team,
            queue=queue,
            idempotent=idempotent,
            sent=sent,
            ended=time.time(),
            outcome=outcome,
            code=code,
            answer_correct=answer_correct,
            number=attempt,
        )
        self.history.append(result)
        return result

    async def send_until_owned(
        self, queue: str, home: str, **options
    ) -> Attempt:
        """Sends one request, again under another id while its owner is gone.

        The entries give out ids whose owner is live.

        Args:
            queue: id of the queue.
            home: home data centre of the first id.
            **options: keyword arguments of `send`.

        Returns:
            The last attempt.
        """
        result = await self.send(queue, home, **options)
        for _ in range(MAX_IDS - 1):
            if result.outcome != "not_run" or result.code not in CODES_OF_OWNER:
                break
            request_id = await self._request_id()
            result = await self.send(
                queue, home, request_id=request_id, **options
            )
        return result

    async def _request_id(self) -> str | None:
        """Returns an id from the first entry that gives one, or None."""
        for address in self._shuffled_addresses():
            try:
                async with self._session.get(
                    f"http://{address}/v1/request-ids",
                    timeout=aiohttp.ClientTimeout(total=ID_TIMEOUT_SECONDS),
                ) as response:
                    body = await response.json()
            except (aiohttp.ClientError, TimeoutError):
                continue
            return body["request_id"]
        return None

    def _headers(
        self, request_id: str, deadline: float, attempt: int
    ) -> dict[str, str]:
        headers = {
            "Sardinedrift-Key": self.key,
            "Sardinedrift-Team": self.team,
            "Sardinedrift-Deadline": f"{deadline:.3f}",
            "Request-Id": request_id,
        }
        if attempt:
            headers["Sardinedrift-Attempt"] = str(attempt)
        return headers

    async def _post_until_reached(
        self, addresses: Sequence[str], **fields
    ) -> tuple[str, str, bool]:
        """Tries entries until one accepts the connection."""
        result = ("not_run", "unreachable", True)
        for address in addresses:
            result = await self._post(address, **fields)
            if result[1] != "unreachable":
                break
        return result

    def _shuffled_addresses(self) -> list[str]:
        """Returns the addresses of the entries in random order."""
        return self._random.sample(self.addresses, len(self.addresses))

    async def _post(
        self, address, queue, body, headers, expected, timeout_seconds
    ) -> tuple[str, str, bool]:
        """Returns outcome, code and whether the answer is correct."""
        timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=2.0)
        try:
            async with self._session.post(
                f"http://{address}/v1/queues/{queue}/requests",
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                data = await response.read()
                status = response.status
                reported_outcome = response.headers.get(
                    "Sardinedrift-Outcome", ""
                )
        except aiohttp.ClientConnectorError:
            return "not_run", "unreachable", True
        except (aiohttp.ClientError, TimeoutError):
            return "unknown", "connection_lost", True
        if status == 200 and reported_outcome == "answered":
            return "answered", "", data == answer_bytes(*expected)
        try:
            error = json.loads(data)
        except ValueError:
            return "unknown", f"http_{status}", True
        return error["outcome"], error["code"], True
