"""Demo: a lot and live calls on in-process stand-ins, under faults."""

import asyncio
import collections
from collections import abc
import dataclasses
import pathlib
import tempfile

from poplarloft import client
from poplarloft import coordination
from poplarloft.daemon import logs
from poplarloft.daemon import node as node_module
from poplarloft import state
from standins import caller
from standins import platform
from standins import trainer

__all__ = ["DemoReport", "run_demo"]

LOT = "ranker"
STEPS = 2
GROUPS = 8
SAMPLES_PER_GROUP = 8
STALENESS_BOUND = 1
CALLS_PER_OWNER = 150
REPEATABLE_ROUTE = "find"
KEYED_ROUTE = "book"
MAX_CONCURRENT_CALLS = 6
STEP_TIMEOUT_MS = 20_000
TRAIN_MS = 500
OUTAGE_MS = 1_200
WARM_UP_MS = 500
MS_PER_S = 1_000

Progress = abc.Callable[[str], None]


@dataclasses.dataclass(frozen=True)
class DemoReport:
    """Figures of the demo, as counted by the stand-ins."""

    samples_requested: int
    samples_delivered: int
    samples_duplicate: int
    samples_mislabelled: int
    samples_stale: int
    requests_sent: int
    answers_whole: int
    answers_cut: int
    answers_wrong: int
    nonrepeatable_run_twice: int
    refused_not_run: int
    refused_but_ran: int
    trainer_idle_ms: int
    engine_crashes: int
    key_value_calls: int


async def run_demo(seed: int, progress: Progress) -> DemoReport:
    """Run the demo and return its figures.

    Parameters
    ----------
    seed : int
        Seeds all randomness; timings still differ between runs.
    progress : callable
        Called with a human-readable line at each stage.
    """
    small_platform = platform.SmallPlatform(seed)
    with tempfile.TemporaryDirectory() as folder:
        log_path = pathlib.Path(folder) / "demo.log"
        with log_path.open("wb") as log:
            logs.start_logging("demo", log)
            try:
                return await _run(small_platform, progress)
            finally:
                await small_platform.stop()


async def _run(
    small_platform: platform.SmallPlatform, progress: Progress
) -> DemoReport:
    await small_platform.start()
    progress("6 engines, 3 plain services and 1 scorer in 3 data centres")
    small_platform.put_in_force(
        *(platform.owner_document(owner) for owner in platform.OWNERS)
    )
    first = await small_platform.start_node("entry-1", platform.LOCATIONS[0])
    second = await small_platform.start_node("entry-2", platform.LOCATIONS[1])
    await asyncio.sleep(WARM_UP_MS / MS_PER_S)
    progress(f"2 daemons at {first.address} and {second.address}")
    for owner in platform.OWNERS:
        await _agree(first, _route(owner, REPEATABLE_ROUTE, True))
        await _agree(first, _route(owner, KEYED_ROUTE, False))
    await _agree(first, _lot())
    progress("4 routes and 1 lot proposed, accepted and in force")
    callers = [
        caller.Caller([_address(first), _address(second)], _token(owner))
        for owner in platform.OWNERS
    ]
    demo_trainer = _trainer(small_platform, [first, second])
    async with asyncio.TaskGroup() as group:
        group.create_task(demo_trainer.run(STEPS, STEP_TIMEOUT_MS))
        for owner, owner_caller in zip(platform.OWNERS, callers, strict=True):
            group.create_task(_call_all(owner, owner_caller, progress))
        group.create_task(
            _cause_faults(small_platform, second, callers, progress)
        )
    for owner_caller in callers:
        owner_caller.close()
    demo_trainer.client.close()
    progress("both steps delivered, all calls answered")
    return _report(
        small_platform, [c.record for c in callers], demo_trainer.record
    )


async def _agree(first: node_module.Node, document: state.Document) -> None:
    """Propose a document as its owner and accept it as the other owner."""
    service = first.configuration
    proposal_id = f"demo-{document.name}"
    other = next(o for o in platform.OWNERS if o != document.owner)
    closes_at_ms = first.wall_clock.now_ms() + STEP_TIMEOUT_MS
    await service.change(
        lambda head: coordination.propose(
            head, document, document.owner, proposal_id, closes_at_ms
        )
    )
    await service.change(
        lambda head: coordination.accept(head, proposal_id, other)
    )


async def _call_all(
    owner: str, owner_caller: caller.Caller, progress: Progress
) -> None:
    """Send the live calls of an owner, MAX_CONCURRENT_CALLS at once.

    Half of them carry an idempotency key.
    """
    unsent = list(range(CALLS_PER_OWNER))

    async def worker() -> None:
        while unsent:
            number = unsent.pop()
            if number % 100 == 0:
                sent = CALLS_PER_OWNER - number
                progress(f"{sent} live calls of {owner} sent")
            keyed = number % 2 == 0
            kind = KEYED_ROUTE if keyed else REPEATABLE_ROUTE
            await owner_caller.call(
                f"{owner}-{kind}", f"{kind}-{owner}-{number}", keyed, tries=20
            )
            await asyncio.sleep(0.05)

    async with asyncio.TaskGroup() as group:
        for _ in range(MAX_CONCURRENT_CALLS):
            group.create_task(worker())


async def _cause_faults(
    small_platform: platform.SmallPlatform,
    second: node_module.Node,
    callers: list[caller.Caller],
    progress: Progress,
) -> None:
    await asyncio.sleep(0.2)
    progress("engine-0 crashes")
    await small_platform.engines[0].crash()
    progress(f"key-value service down for {OUTAGE_MS} ms")
    small_platform.key_value.faults.outage = True
    await asyncio.sleep(OUTAGE_MS / MS_PER_S)
    small_platform.key_value.faults.outage = False
    progress("entry-2 stops gracefully")
    stopping = asyncio.create_task(second.stop())
    await asyncio.sleep(second.settings.drain_notice_ms / 2 / MS_PER_S)
    for owner_caller in callers:
        owner_caller.addresses = owner_caller.addresses[:1]
    await stopping


def _trainer(
    small_platform: platform.SmallPlatform, nodes: list[node_module.Node]
) -> trainer.Trainer:
    collector = coordination.StepCollector(
        LOT, "trainer#1", GROUPS, SAMPLES_PER_GROUP, STALENESS_BOUND
    )
    rollout_client = client.RolloutClient(
        [_address(n) for n in reversed(nodes)],
        _token(platform.OWNERS[0]),
        collector,
    )
    return trainer.Trainer(
        rollout_client,
        STALENESS_BOUND,
        TRAIN_MS,
        small_platform.weights.publish,
    )


def _route(owner: str, kind: str, repeatable: bool) -> state.Document:
    body = state.RouteBody("directorio-app", repeatable, timeout_ms=5_000)
    return state.Document(
        state.DocumentKind.ROUTE, owner, f"{owner}-{kind}", body
    )


def _lot() -> state.Document:
    body = state.LotBody(
        "modelo-pool",
        "ranker",
        "scorer",
        tuple(f"Rank the experts of brief {n}. " * 8 for n in range(GROUPS)),
        GROUPS,
        SAMPLES_PER_GROUP,
        STEPS,
        STALENESS_BOUND,
        max_tokens=256,
    )
    return state.Document(
        state.DocumentKind.LOT, platform.OWNERS[0], LOT, body
    )


def _token(owner: str) -> str:
    return platform.caller_token(owner)


def _address(node: node_module.Node) -> state.Address:
    assert node.address is not None
    return node.address


def _report(
    small_platform: platform.SmallPlatform,
    caller_records: list[caller.CallerRecord],
    trained: trainer.TrainerRecord,
) -> DemoReport:
    runs: dict[str, int] = {}
    for plain in small_platform.plains:
        for key, count in plain.runs.items():
            runs[key] = runs.get(key, 0) + count
    outcomes = {k: o for r in caller_records for k, o in r.outcomes.items()}
    counts = collections.Counter(outcomes.values())
    not_run = [
        key
        for key, outcome in outcomes.items()
        if outcome is caller.CallOutcome.NOT_RUN
    ]
    return DemoReport(
        samples_requested=STEPS * GROUPS * SAMPLES_PER_GROUP,
        samples_delivered=trained.delivered,
        samples_duplicate=trained.duplicate,
        samples_mislabelled=trained.mislabelled,
        samples_stale=trained.stale,
        requests_sent=sum(record.sent for record in caller_records),
        answers_whole=counts[caller.CallOutcome.COMPLETE],
        answers_cut=counts[caller.CallOutcome.TRUNCATED]
        + counts[caller.CallOutcome.NO_ANSWER],
        answers_wrong=sum(record.wrong_answers for record in caller_records),
        nonrepeatable_run_twice=sum(
            key.startswith(KEYED_ROUTE) and count > 1
            for key, count in runs.items()
        ),
        refused_not_run=len(not_run),
        refused_but_ran=sum(runs.get(key, 0) > 0 for key in not_run),
        trainer_idle_ms=trained.idle_ms,
        engine_crashes=sum(e.crashes for e in small_platform.engines),
        key_value_calls=small_platform.key_value.calls,
    )
