"""Stand-in for callers: sends and repeats requests, checks responses."""

import asyncio
from collections import abc
import dataclasses
import enum

import msgspec
from returns import result
import uuid6

from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["CallOutcome", "Caller", "CallerRecord"]

OK = 200
MAX_ANSWER_BYTES = 1_048_576
MS_PER_S = 1_000
CONNECT_TIMEOUT_MS = 20_000  # a busy machine may take seconds


class CallOutcome(enum.StrEnum):
    """How a call ended for its caller.

    Attributes
    ----------
    COMPLETE
        The response arrived complete with status 200.
    TRUNCATED
        The connection broke before the response was complete.
    NOT_RUN
        Refused with the verdict that the request was not executed.
    MAY_HAVE_RUN
        Refused or failed without that verdict.
    NO_ANSWER
        No response arrived.
    """

    COMPLETE = "whole"
    TRUNCATED = "cut"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    NO_ANSWER = "no-answer"


@dataclasses.dataclass
class CallerRecord:
    """Counters and outcomes of one caller."""

    sent: int = 0
    outcomes: dict[str, CallOutcome] = dataclasses.field(default_factory=dict)
    failures: dict[str, str] = dataclasses.field(default_factory=dict)
    wrong_answers: int = 0

    def count(self, outcome: CallOutcome) -> int:
        """Return the number of calls that ended with `outcome`."""
        return sum(o is outcome for o in self.outcomes.values())


class Caller:
    """Calls a plain service through any of several daemons.

    Parameters
    ----------
    addresses : sequence of state.Address
        Daemons, used in turn as a load balancer would.
    token : str
        The owner's bearer token.
    """

    def __init__(
        self, addresses: abc.Sequence[state.Address], token: str
    ) -> None:
        self.addresses = list(addresses)
        self.token = token
        self.client = http_client.HttpClient(CONNECT_TIMEOUT_MS)
        self.record = CallerRecord()
        self.position = 0

    async def call(
        self,
        route: str,
        request_key: str,
        keyed: bool = False,
        tries: int = 3,
        deadline_ms: int = 5_000,
    ) -> CallOutcome:
        """Send one call, and repeat it while its verdict is "not run"."""
        headers = [
            ("authorization", f"Bearer {self.token}"),
            ("x-request-key", request_key),
            ("poplarloft-deadline-ms", str(deadline_ms)),
        ]
        if keyed:
            headers.append(("idempotency-key", str(uuid6.uuid7())))
        outcome = CallOutcome.NO_ANSWER
        for _ in range(tries):
            outcome = await self._send(route, request_key, headers)
            if outcome is not CallOutcome.NOT_RUN:
                break
            await asyncio.sleep(0.2)
        self.record.outcomes[request_key] = outcome
        return outcome

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    async def _send(
        self, route: str, request_key: str, headers: list[tuple[str, str]]
    ) -> CallOutcome:
        self.record.sent += 1
        self.position += 1
        address = self.addresses[self.position % len(self.addresses)]
        result_or_failure = await self.client.send(
            address,
            "POST",
            f"/r/{route}/run",
            headers,
            request_key.encode(),
            new_connection=True,
        )
        match result_or_failure:
            case result.Success(response):
                return await self._classify(request_key, response)
            case result.Failure(failure):
                self.record.failures[request_key] = str(failure)
        return CallOutcome.NO_ANSWER

    async def _classify(
        self, request_key: str, response: http_client.UpstreamResponse
    ) -> CallOutcome:
        try:
            body = await response.read(MAX_ANSWER_BYTES)
        except OSError:
            return CallOutcome.TRUNCATED
        if response.status == OK:
            ran = msgspec.json.decode(body)["ran"]
            self.record.wrong_answers += ran != request_key
            return CallOutcome.COMPLETE
        verdict = response.headers.get("poplarloft-verdict")
        if verdict == state.Verdict.NOT_RUN:
            return CallOutcome.NOT_RUN
        return CallOutcome.MAY_HAVE_RUN
