"""Calls to upstreams: requests, items, rewards, orders, reports."""

from collections import abc
import dataclasses

import msgspec
from returns import result

from poplarloft.coordination import retries
from poplarloft.platform import names
from poplarloft.protocol import http
from poplarloft import state
from poplarloft.transport import errors
from poplarloft.transport import http_client

__all__ = ["EngineReport", "EventReader", "SamplerClient", "SampleEvent"]

ACCEPTED = 202
OK = 200
CONFLICT = 409
STALE_FENCE = 412
MISDIRECTED = 421
CALL_TIMEOUT_MS = 1_000
FailureKind = retries.FailureKind
HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding"})
Outcome = result.Result[http_client.UpstreamResponse, errors.TransportFailure]


@dataclasses.dataclass(frozen=True, slots=True)
class SampleEvent:
    """One event of a text; `version` is set where it changes."""

    number: int
    data: str
    version: int | None


class _Model(msgspec.Struct):
    name: str
    version: int


class _Report(msgspec.Struct):
    models: list[_Model]
    busy: bool = False  # an order is being carried out
    sequence: int = 0  # orders accepted since the start
    num_waiting: int = 0
    num_running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's own view, a few hundred milliseconds old."""

    versions: dict[str, int]
    is_loading: bool
    orders_accepted: int


class OrderStatus(msgspec.Struct):
    """How an engine took an order; `status` 0 means no answer."""

    status: int

    @property
    def holds(self) -> bool:
        """Tell whether the order is done or being carried out."""
        return self.status in (OK, ACCEPTED)

    @property
    def was_superseded(self) -> bool:
        """Tell whether another holder of the duty has ordered since."""
        return self.status == STALE_FENCE


class EventReader:
    """Splits a body into events; keeps what is not whole yet."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, piece: bytes) -> list[SampleEvent]:
        """Return the events that `piece` completes.

        Raises
        ------
        ValueError
            If an event's number is not one.
        """
        self.buffer += piece
        *blocks, self.buffer = self.buffer.split(b"\n\n")
        return [_event(block) for block in blocks if block.strip()]


def _event(block: bytes) -> SampleEvent:
    number, version = 0, None
    data = []
    for line in block.decode("utf-8").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name:
            case "id":
                number = int(value)
            case "data":
                data.append(value)
            case names.VERSION:
                version = int(value)
    return SampleEvent(number, "\n".join(data), version)


class SamplerClient:
    """Sends to upstreams over kept connections."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self.client = client

    async def forward(
        self,
        sampler: state.Sampler,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]],
        body: bytes | http.BodyStream,
        deadline_ms: int,
        is_repeatable: bool,
    ) -> Outcome:
        """Send a client's request on, within `deadline_ms`."""
        sent = [
            *headers,
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.EXPECT_INSTANCE, sampler.name),
        ]
        return await self.client.send(
            sampler.address,
            method,
            target,
            sent,
            body,
            deadline_ms,
            new_connection=not is_repeatable,
        )

    async def start_item(
        self,
        sampler: state.Sampler,
        host: str,
        item: state.LotItem,
        deadline_ms: int,
        events_held: int,
        priority: int,
        timeout_ms: int,
    ) -> Outcome:
        """Start or resume an item's text after `events_held` events."""
        headers = [
            ("host", host),
            (names.REQUEST_ID, item.id),
            *item.headers,
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.EXPECT_INSTANCE, sampler.name),
            (names.PRIORITY, str(priority)),
        ]
        if events_held:
            headers.append((names.LAST_EVENT_ID, str(events_held)))
        return await self.client.send(
            sampler.address, "POST", item.path, headers, item.body, timeout_ms
        )

    async def call_reward(
        self,
        sampler: state.Sampler,
        reward: state.RewardCall,
        deadline_ms: int,
    ) -> Outcome:
        """Send the request that scores an item's text."""
        headers = [
            ("host", reward.host),
            (names.REQUEST_ID, reward.id),
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.EXPECT_INSTANCE, sampler.name),
        ]
        return await self.client.send(
            sampler.address,
            "POST",
            reward.path,
            headers,
            reward.body,
            deadline_ms,
        )

    async def order_version(
        self,
        sampler: state.Sampler,
        target: state.WeightsTarget,
        holder: str,
        fence: int,
        orders_accepted: int,
    ) -> OrderStatus:
        """Order an engine to load a version while its runs go on."""
        body = {
            "op": "version",
            "model": target.model,
            "version": target.version,
            "mode": "retain",
            "holder": holder,
            "fence": fence,
            "expected": orders_accepted,
        }
        sent = await self.client.send(
            sampler.address,
            "POST",
            names.ORDER_PATH,
            (
                ("content-type", "application/json"),
                (names.EXPECT_INSTANCE, sampler.name),
            ),
            msgspec.json.encode(body),
            CALL_TIMEOUT_MS,
        )
        match sent:
            case result.Success(answer):
                await discard(answer)
                return OrderStatus(answer.status)
        return OrderStatus(0)

    async def report(self, sampler: state.Sampler) -> EngineReport | None:
        """Return an engine's own view, None if it gives none."""
        headers = ((names.EXPECT_INSTANCE, sampler.name),)
        sent = await self.client.send(
            sampler.address,
            "GET",
            names.REPORT_PATH,
            headers,
            timeout_ms=CALL_TIMEOUT_MS,
        )
        match sent:
            case result.Success(answer) if answer.status == OK:
                return await _read_report(answer)
            case result.Success(answer):
                answer.close()
        return None


async def discard(answer: http_client.UpstreamResponse) -> None:
    """Read the rest of an answer, so that its connection can be kept."""
    try:
        await answer.read()
    except http_client.TruncatedResponseError:
        answer.close()


async def _read_report(
    answer: http_client.UpstreamResponse,
) -> EngineReport | None:
    try:
        body = await answer.read()
        row = msgspec.json.decode(body, type=_Report)
    except (http_client.TruncatedResponseError, msgspec.MsgspecError):
        return None
    versions = {model.name: model.version for model in row.models}
    return EngineReport(versions, row.busy, row.sequence)


def proves_not_run(answer: http_client.UpstreamResponse) -> bool:
    """Tell whether the upstream states that it did not run a request."""
    return names.NOT_RUN in answer.headers or answer.status == MISDIRECTED


def is_response_to(
    answer: http_client.UpstreamResponse, request_id: str
) -> bool:
    """Tell a late answer to an earlier request from the one awaited."""
    return answer.headers.get(names.REQUEST_ID, request_id) == request_id


def signature(answer: http_client.UpstreamResponse) -> str:
    """Return the upstream's signature of its answer, empty if none."""
    return answer.headers.get(names.SIGNATURE, "")


def first_version(answer: http_client.UpstreamResponse) -> int | None:
    """Return the weight version under which an answer begins."""
    text = answer.headers.get(names.VERSION, "")
    return int(text) if text.isdecimal() else None


def body_length(answer: http_client.UpstreamResponse) -> http.Headers:
    """Return the header with the length of an answer's body, if known."""
    length = answer.headers.get("content-length")
    return () if length is None else (("content-length", length),)


def returned_headers(answer: http_client.UpstreamResponse) -> http.Headers:
    """Return the headers that go back to the client."""
    return tuple(
        (name, value)
        for name, value in answer.headers.items()
        if name not in HOP_HEADERS and name != "content-length"
    )
