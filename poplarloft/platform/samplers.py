"""Calls to upstreams: requests, items, scores, reports and orders.

An order is a command to an engine to load a version of the weights.
"""

from collections import abc
import typing

import msgspec
from returns import result

from poplarloft.coordination import retries
from poplarloft.platform import names
from poplarloft.platform import reports
from poplarloft.platform import response_notes
from poplarloft.protocol import http
from poplarloft.protocol import numbers
from poplarloft import state
from poplarloft.transport import errors as transport_errors
from poplarloft.transport import http_client

__all__ = [
    "ResponseObserver",
    "SamplerClient",
]

ACCEPTED = 202
OK = 200
UNAVAILABLE = 503
FIRST_FAILURE = 400
CONFLICT = 409
STALE_FENCE = 412
CALL_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 300
MAX_DISCARDED_BYTES = 16_384
FailureKind = retries.FailureKind
HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding"}
)
Outcome = result.Result[
    http_client.UpstreamResponse, transport_errors.TransportFailure
]


class OrderStatus(msgspec.Struct):
    """HTTP status of the response to an order; 0 if there was none."""

    status: int

    @property
    def is_accepted(self) -> bool:
        """Whether the order is done or being carried out."""
        return self.status in (OK, ACCEPTED)

    @property
    def was_superseded(self) -> bool:
        """Whether a newer leader has sent an order in the meantime."""
        return self.status == STALE_FENCE


class ResponseObserver(typing.Protocol):
    """Is told what the responses of upstreams say of these."""

    def on_response(
        self, sampler: state.Sampler, note: state.ResponseNote
    ) -> None:
        """Take note of what the response to a request says."""

    def on_control_response(
        self, sampler: state.Sampler, note: state.ResponseNote
    ) -> None:
        """Take note of the response to a probe, a report or an order."""


class SamplerClient:
    """Client of upstreams, on pooled connections.

    A `state.Sampler` is the announced state of an upstream. In all methods,
    `deadline_ms` is the time in milliseconds that the upstream is given, not
    a point in time.

    Parameters
    ----------
    client : http_client.HttpClient
        Pooled connections. Requests wait for one beyond the bound; reports,
        probes and orders do not.
    observer : ResponseObserver
        Learns what upstreams say of themselves.
    """

    def __init__(
        self, client: http_client.HttpClient, observer: ResponseObserver
    ) -> None:
        self.client = client
        self.observer = observer

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
        """Forward a client's request; the upstream has `deadline_ms` for it.

        A request that is not repeatable gets a new connection, since an
        idle one may have been closed by the upstream.
        """
        sent_headers = [
            *headers,
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.EXPECT_INSTANCE, sampler.name),
        ]
        return await self._send(
            sampler,
            method,
            target,
            sent_headers,
            body,
            deadline_ms,
            new_connection=not is_repeatable,
        )

    async def start_item(
        self,
        sampler: state.Sampler,
        lot: state.Lot,
        item: state.LotItem,
        deadline_ms: int,
        events_received: int,
        priority: int,
        timeout_ms: int,
    ) -> Outcome:
        """Start an item's output, or resume it after `events_received`.

        The upstream is told `deadline_ms`; `timeout_ms` limits the wait for
        the head of the response and for each chunk of its body.
        """
        headers = [
            ("host", lot.host),
            (names.REQUEST_ID, item.id),
            *_item_headers(lot, item),
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.EXPECT_INSTANCE, sampler.name),
            (names.PRIORITY, str(priority)),
        ]
        if events_received:
            headers.append((names.LAST_EVENT_ID, str(events_received)))
        return await self._send(
            sampler, "POST", item.path, headers, item.body, timeout_ms
        )

    async def call_reward(
        self,
        sampler: state.Sampler,
        reward: state.RewardCall,
        deadline_ms: int,
    ) -> Outcome:
        """Send the request that scores an item's output."""
        headers = [
            ("host", reward.host),
            (names.REQUEST_ID, reward.id),
            (names.DEADLINE_MS, str(deadline_ms)),
            (names.EXPECT_INSTANCE, sampler.name),
        ]
        return await self._send(
            sampler,
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
        """Order an engine to load a version without ending its requests.

        `orders_accepted` is the number of orders that the engine is expected
        to have accepted since its start.
        """
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
            is_essential=True,
        )
        match sent:
            case result.Success(response):
                self._observe_control(sampler, response)
                await discard(response)
                return OrderStatus(response.status)
        return OrderStatus(0)

    async def report(
        self, sampler: state.Sampler
    ) -> reports.EngineReport | None:
        """Return an engine's report, None if there is no valid one."""
        headers = ((names.EXPECT_INSTANCE, sampler.name),)
        sent = await self.client.send(
            sampler.address,
            "GET",
            names.REPORT_PATH,
            headers,
            timeout_ms=CALL_TIMEOUT_MS,
            is_essential=True,
        )
        match sent:
            case result.Success(response):
                self._observe_control(sampler, response)
                if response.status == OK:
                    return await reports.read_report(response)
                response.close()
        return None

    async def probe(
        self, sampler: state.Sampler, new_connection: bool = True
    ) -> state.ProbeOutcome:
        """Ask an upstream whether its run goes on.

        Parameters
        ----------
        sampler : state.Sampler
            The run, as announced.
        new_connection : bool
            Whether to open a connection for it, which tells as well whether
            the upstream still takes any. Otherwise an idle one is used; if
            that fails, a new one.
        """
        sent = await self.client.send(
            sampler.address,
            "GET",
            names.REPORT_PATH,
            ((names.EXPECT_INSTANCE, sampler.name),),
            timeout_ms=PROBE_TIMEOUT_MS,
            new_connection=new_connection,
            is_essential=True,
        )
        match sent:
            case result.Success(response):
                outcome = await reports.probe_outcome(sampler, response)
                if outcome is not state.ProbeOutcome.OTHER_RUN:
                    self._observe_control(sampler, response)
                return outcome
            case result.Failure(failure):
                if not new_connection:
                    return await self.probe(sampler)
                if failure.kind is FailureKind.CONNECT_REFUSED:
                    return state.ProbeOutcome.REFUSED
        return state.ProbeOutcome.SILENT

    async def _send(
        self,
        sampler: state.Sampler,
        method: str,
        target: str,
        headers: abc.Iterable[tuple[str, str]],
        body: bytes | http.BodyStream = b"",
        timeout_ms: int = CALL_TIMEOUT_MS,
        new_connection: bool = False,
    ) -> Outcome:
        """Send a request, and take note of what the response says.

        A misdirected request was answered by another upstream.
        """
        sent = await self.client.send(
            sampler.address,
            method,
            target,
            headers,
            body,
            timeout_ms,
            new_connection,
        )
        match sent:
            case result.Success(response) if (
                response.status != reports.MISDIRECTED
            ):
                self.observer.on_response(
                    sampler, response_notes.note_of(response)
                )
        return sent

    def _observe_control(
        self, sampler: state.Sampler, response: http_client.UpstreamResponse
    ) -> None:
        if response.status != reports.MISDIRECTED:
            note = response_notes.note_of(response)
            self.observer.on_control_response(sampler, note)


def _item_headers(
    lot: state.Lot, item: state.LotItem
) -> list[tuple[str, str]]:
    """Return an item's headers, with the account that it belongs to."""
    if not lot.account:
        return list(item.headers)
    private = (names.AUTHORIZATION, names.ACCOUNT)
    headers = [row for row in item.headers if row[0].lower() not in private]
    return [*headers, (names.ACCOUNT, lot.account)]


async def discard(response: http_client.UpstreamResponse) -> None:
    """Read the rest of a response, so that its connection can be reused.

    The connection is closed instead if the rest is large or late.
    """
    try:
        await response.read(MAX_DISCARDED_BYTES)
    except http_client.TruncatedResponseError:
        response.close()


def proves_not_run(response: http_client.UpstreamResponse) -> bool:
    """Return whether the upstream states that it did not run the request."""
    return (
        names.NOT_RUN in response.headers
        or response.status == reports.MISDIRECTED
    )


def had_no_room(response: http_client.UpstreamResponse) -> bool:
    """Return whether the upstream may have refused for lack of room."""
    return proves_not_run(response) and response.status == UNAVAILABLE


def is_response_to(
    response: http_client.UpstreamResponse, request_id: str
) -> bool:
    """Return whether a response belongs to the request `request_id`.

    It may be a late response to an earlier request, or other bytes that
    look like one. Upstreams repeat the identifier in all successes; a
    failure without one counts as belonging to the request.
    """
    repeated = response.headers.get(names.REQUEST_ID)
    if repeated is not None:
        return repeated == request_id
    return response.status >= FIRST_FAILURE or not request_id


def signature(response: http_client.UpstreamResponse) -> str:
    """Return the upstream's signature of its response, empty if none."""
    return response.headers.get(names.SIGNATURE, "")


def first_version(response: http_client.UpstreamResponse) -> int | None:
    """Return the weight version at the start of a response, if known."""
    return numbers.parse_count(response.headers.get(names.VERSION, ""))


def body_length(response: http_client.UpstreamResponse) -> http.Headers:
    """Return the header with the length of a response's body, if known."""
    length = response.headers.get("content-length")
    return () if length is None else (("content-length", length),)


def returned_headers(response: http_client.UpstreamResponse) -> http.Headers:
    """Return the response headers that are passed on to the client."""
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name not in HOP_BY_HOP_HEADERS and name != "content-length"
    )
