"""Measure how memory, processor time and message sizes scale.

Memory is measured with tracemalloc, processor time with the clock of the
process. Times differ between machines; memory and message sizes do not.
docs/CAPACITY.md is derived from this output.
"""

from collections import abc
import random
import sys
import time
import tracemalloc
import typing

from poplarloft import coordination
from poplarloft.protocol import documents
from poplarloft.protocol import engine
from poplarloft.protocol import ledgers
from poplarloft.protocol import peers
from poplarloft.protocol import pulls
from poplarloft import state

__all__ = ["run"]

UPSTREAMS = (100, 570, 5_700)
MEMBERS = (42, 120, 420)
CLAIMS = (500, 2_500, 10_000)
SLOTS = (128, 512, 1_024)
LOTS = (1, 7, 28)
REQUESTS = (10, 100, 1_000)
DOCUMENTS = (10, 100, 500)
REPEATS = 20
MICROSECONDS_PER_S = 1_000_000


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return the report: one row per subject and size."""
    measures: list[tuple[str, typing.Any, tuple[int, ...]]] = [
        ("upstreams", _measure_upstreams, UPSTREAMS),
        ("members", _measure_members, MEMBERS),
        ("claims", _measure_claims, CLAIMS),
        ("slots", _measure_slots, SLOTS),
        ("lots", _measure_lots, LOTS),
        ("requests in flight", _measure_requests, REQUESTS),
        ("documents", _measure_documents, DOCUMENTS),
    ]
    rows = []
    for name, measure, sizes in measures:
        for size in sizes[:1] if small else sizes:
            print(f"{size} {name}", file=sys.stderr)
            rng = random.Random(seed)
            rows.append({"subject": name, "size": size, **measure(rng, size)})
    return {"experiment": "slopes", "seed": seed, "rows": rows}


def _microseconds(action: abc.Callable[[], object]) -> float:
    """Return the least processor time of several calls, in microseconds."""
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return round(MICROSECONDS_PER_S * min(times), 1)


def _bytes_of(build: abc.Callable[[], typing.Any]) -> tuple[typing.Any, int]:
    """Return the result of `build` and the bytes that it keeps allocated."""
    tracemalloc.start()
    built = build()
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, retained_bytes


def _upstream(number: int) -> state.Upstream:
    return state.Upstream(
        f"engine-{number}",
        1,
        "pool",
        state.UpstreamKind.ENGINE,
        state.Address("10.0.0.1", 1_000 + number % 60_000),
        state.Location(f"region-{number % 4}", f"centre-{number % 10}"),
    )


def _measure_upstreams(rng: random.Random, size: int) -> dict[str, typing.Any]:
    clock = state.ManualClock(10_000)

    def build() -> typing.Any:
        registry = coordination.UpstreamRegistry(clock)
        registry.on_list(tuple(_upstream(n) for n in range(size)))
        view = coordination.LoadView(clock)
        for number in range(size):
            view.on_report(_report(number))
        return registry, view

    (registry, view), retained_bytes = _bytes_of(build)
    policy = coordination.ScoredTwoChoices(rng)
    request = coordination.RouteRequest(tuple(range(16)), 256)

    shortlist = coordination.Shortlist(rng)

    def choose_from_shortlist() -> None:
        names = tuple(u.name for u in registry.eligible("pool"))
        shortlisted = shortlist.choose(request, names)
        policy.choose(request, [view.candidate(n, 0.0) for n in shortlisted])

    def choose() -> None:
        candidates = [
            view.candidate(u.name, 0.0) for u in registry.eligible("pool")
        ]
        policy.choose(request, candidates)

    answer = engine.EngineState(
        engine="engine-1#1",
        age_ms=5,
        running=4,
        queued_tokens=900,
        weight_version=17,
        cached_prefixes=list(range(64)),
    )
    data = engine.encode(answer)
    return {
        "bytes_each": round(retained_bytes / size),
        "choose_of_all_us": _microseconds(choose),
        "choose_of_few_us": _microseconds(choose_from_shortlist),
        "report_bytes": len(data),
        "report_us": _microseconds(
            lambda: engine.load_report(
                "engine-1", engine.decode_engine_state(data), 10_000
            )
        ),
    }


def _report(number: int) -> state.LoadReport:
    cached = frozenset(range(number, number + 64))
    return state.LoadReport(f"engine-{number}", 9_990, 4, 900, 17, cached)


def _member(number: int) -> state.MemberRecord:
    address = state.Address("10.0.0.1", 1_000 + number)
    return state.MemberRecord(
        f"entry-{number}",
        1_764_832_800_000,
        0,
        state.MemberStatus.ALIVE,
        address,
        address,
        state.Location(f"region-{number % 4}", f"centre-{number % 10}"),
    )


def _measure_members(rng: random.Random, size: int) -> dict[str, typing.Any]:
    clock = state.ManualClock(10_000)

    def build() -> coordination.Membership:
        view = coordination.Membership(
            clock, rng, _member(0), coordination.UpdateStore()
        )
        for number in range(1, size):
            view.on_update(_member(number))
        return view

    view, retained_bytes = _bytes_of(build)
    view.store.pending.clear()
    empty = coordination.SendPing("entry-1", 7, "", ())
    full = coordination.SendPing(
        "entry-1", 7, "", tuple(_member(n) for n in range(4))
    )
    digest = coordination.SendDigest("entry-1", view.store.digest())
    data = peers.encode_peer_message("entry-0", full)

    def run_gossip_round() -> None:
        clock.advance(view.settings.interval_ms)
        view.tick()

    return {
        "bytes_each": round(retained_bytes / size),
        "tick_us": _microseconds(run_gossip_round),
        "empty_ping_bytes": len(peers.encode_peer_message("entry-0", empty)),
        "full_ping_bytes": len(data),
        "digest_bytes": len(peers.encode_peer_message("entry-0", digest)),
        "decode_us": _microseconds(lambda: peers.decode_peer_message(data)),
    }


def _measure_claims(rng: random.Random, size: int) -> dict[str, typing.Any]:
    claims = {
        rng.randbytes(16): state.Claim(
            rng.getrandbits(63), f"entry-{n % 8}#1764832800000"
        )
        for n in range(size)
    }
    ledger, retained_bytes = _bytes_of(lambda: state.Ledger(1, dict(claims)))
    data = ledgers.encode_ledger(ledger)
    return {
        "stored_bytes_each": round(len(data) / size, 1),
        "encode_us": _microseconds(lambda: ledgers.encode_ledger(ledger)),
        "decode_us": _microseconds(lambda: ledgers.decode_ledger(data)),
    }


def _measure_slots(rng: random.Random, size: int) -> dict[str, typing.Any]:
    lot = state.LotBody(
        "pool", "m", "s", ("p",), size // 8, 8, 100, 2, idle_weight=3.0
    )
    clock = state.ManualClock(10_000)
    tokens = tuple(range(400))

    def build() -> coordination.LotPlanner:
        planner = coordination.LotPlanner(
            clock, "lot", lot, coordination.NoRedispatch()
        )
        planner.on_pull(state.Holdings("t#1", 0, 0))
        for action in planner.plan(size):
            assert isinstance(action, coordination.GenerateSample)
            spans = (state.Span(0, 0, 399),)
            planner.on_generated(action.attempt, tokens, spans, "e#1")
            planner.on_scored(action.attempt, 0.5)
        return planner

    planner, retained_bytes = _bytes_of(build)
    offer = planner.on_pull(state.Holdings("t#1", 0, 0))
    answer = pulls.encode_pull_answer("lot", 0, offer.samples)
    return {
        "bytes_each_without_tokens": round(retained_bytes / size),
        "plan_us": _microseconds(lambda: planner.plan(0)),
        "answer_bytes_each_400_tokens": round(len(answer) / size),
        "encode_answer_us": _microseconds(
            lambda: pulls.encode_pull_answer("lot", 0, offer.samples)
        ),
    }


def _measure_lots(rng: random.Random, size: int) -> dict[str, typing.Any]:
    clock = state.ManualClock(10_000)
    lot = state.LotBody("pool", "m", "s", ("p",), 16, 8, 100, 2)

    def build() -> list[coordination.LotPlanner]:
        planners = []
        for number in range(size):
            planner = coordination.LotPlanner(
                clock, f"lot-{number}", lot, coordination.NoRedispatch()
            )
            planner.on_pull(state.Holdings("t#1", 0, 0))
            planner.plan(128)
            planners.append(planner)
        return planners

    planners, retained_bytes = _bytes_of(build)
    return {
        "bytes_each": round(retained_bytes / size),
        "plan_all_us": _microseconds(lambda: [p.plan(0) for p in planners]),
    }


def _measure_requests(rng: random.Random, size: int) -> dict[str, typing.Any]:
    clock = state.ManualClock(10_000)
    cost = coordination.CostEstimate()
    request = coordination.RouteRequest(tuple(range(16)), 256)
    parts = (
        coordination.AdmissionController(
            clock, coordination.AdmissionSettings(max_concurrent=size + 1)
        ),
        coordination.PoisonGuard(clock, clock),
        coordination.LoadView(clock),
    )

    def start_request() -> tuple[int, int, int]:
        admission, guard, view = parts
        ticket, _ = admission.request("o", "live", cost, 60_000)
        guard_ticket = guard.on_dispatch("engine-1", 1, "f" * 32)
        return ticket, guard_ticket, view.on_dispatch("engine-1", request)

    def start_and_end_request() -> None:
        admission, guard, view = parts
        ticket, guard_ticket, view_ticket = start_request()
        admission.done(ticket)
        guard.on_done("engine-1", 1, guard_ticket)
        view.on_done("engine-1", view_ticket)

    _, retained_bytes = _bytes_of(
        lambda: [start_request() for _ in range(size)]
    )
    return {
        "bytes_each": round(retained_bytes / size),
        "begin_and_end_us": _microseconds(start_and_end_request),
    }


def _measure_documents(rng: random.Random, size: int) -> dict[str, typing.Any]:
    parts = tuple(
        state.Document(
            state.DocumentKind.ROUTE,
            "red-peritos",
            f"route-{n}",
            state.RouteBody("app"),
        )
        for n in range(size)
    )
    head = state.Configuration(1, parts)
    data = documents.encode_head(head)
    _, retained_bytes = _bytes_of(lambda: documents.decode_head(data))
    return {
        "stored_bytes_each": round(len(data) / size),
        "bytes_each": round(retained_bytes / size),
        "decode_us": _microseconds(lambda: documents.decode_head(data)),
        "encode_us": _microseconds(lambda: documents.encode_head(head)),
    }
