"""Check the documented promises on records of clients and upstreams."""

import collections
from collections import abc

from poplarloft_soak import clients
from poplarloft_soak import world as worlds

__all__ = ["find_violations"]

REFUSAL_STATUSES = (408, 421, 429, 503)
CANCEL_LIMIT_S = 3.5
MIN_SERVED_SHARE = 0.9
NEWS_BOUND_S = 4.0  # within which all instances know of a crash
POISON_RETRIES = 3
LEAVING_BOUND_S = 3.0
# Faults of instances and of their connections, and how long after one it
# may still be felt.
INSTANCE_FAULTS = ("daemon-", "herd-", "store-", "link-")
EXCUSED_S = 8.0


def find_violations(
    world: worlds.World,
    callers: clients.Callers,
    healed_at_s: float,
    injected: abc.Sequence[tuple[float, str]] = (),
) -> list[str]:
    """Return a sentence for each promise that the records contradict.

    `injected` are the times and kinds of the faults.
    """
    runs = collections.Counter(
        run
        for upstream in (*world.engines, *world.services)
        for run in upstream.runs
    )
    found = []
    for call in callers.calls:
        found += _check_call(call, runs)
    for lot in callers.lots:
        found += _check_lot(lot, runs)
        found += _check_end(lot, world)
    found += _check_orders(world)
    for upstream in world.upstreams():
        found += [f"{upstream.name}: {x}" for x in upstream.rate.exceeded]
    found += _check_recovery(callers, healed_at_s)
    found += _check_poison(world, injected)
    found += _check_streams(callers)
    found += _check_leaving(world, callers)
    found += [
        f"{daemon.name} exited without being stopped"
        for daemon in world.daemons
        if daemon.exited_unexpectedly()
    ]
    return found


def _check_call(
    call: clients.CallRecord, runs: collections.Counter[str]
) -> list[str]:
    found = []
    count = runs[call.id]
    if not call.repeatable and count > 1:
        found.append(f"{call.id} may run at most once and ran {count} times")
    if not call.repeatable and call.status in REFUSAL_STATUSES and count:
        found.append(f"{call.id} was answered {call.status} and ran")
    if 200 <= call.status < 300:
        if call.body != b"answer to " + call.id.encode():
            found.append(
                f"{call.id} received another body: {call.body[:60]!r}"
            )
        if not call.stamp.endswith(f".{call.id}"):
            found.append(f"{call.id} received the signature {call.stamp!r}")
    if 400 <= call.status < 500 and call.status not in REFUSAL_STATUSES:
        found.append(f"{call.id} was denied with {call.status}")
    return found


def _check_lot(
    lot: clients.LotRecord, runs: collections.Counter[str]
) -> list[str]:
    found = []
    if not lot.was_accepted and lot.statuses:
        refused = all(status in REFUSAL_STATUSES for status in lot.statuses)
        if refused and any(runs[item] for item in lot.items):
            found.append(f"{lot.id} was refused each time and ran")
    if -404 in lot.statuses:
        found.append(f"{lot.id} was accepted and later unknown (404)")
    listed = [row["id"] for row in lot.results]
    if len(set(listed)) < len(listed):
        found.append(f"{lot.id} lists an item twice")
    if lot.reread and lot.reread != lot.results:
        found.append(f"{lot.id} changed between two reads")
    for row in lot.results:
        found += _check_result(lot, row)
    return found


def _check_result(lot: clients.LotRecord, row: dict) -> list[str]:
    item = row["id"]
    if item not in lot.items:
        return [f"{lot.id} lists the foreign item {item}"]
    if row["state"] != "completed":
        return []
    found = []
    expected = [f"{item}-{n}" for n in range(1, lot.items[item] + 1)]
    events = [line.partition("@") for line in row["text"].split("\n")]
    if [event for event, _, _ in events] != expected:
        found.append(f"{item} has output that is not its own")
    if len({version for _, _, version in events}) > 1:
        found.append(f"{item} joins events of two software versions")
    if any(version < lot.min_version for version in row["versions"]):
        found.append(f"{item} has versions {row['versions']}")
    if not row["score"].endswith(f".r-{item}"):
        found.append(f"{item} has the score {row['score']!r}")
    return found


def _check_end(lot: clients.LotRecord, world: worlds.World) -> list[str]:
    if lot.ended_at_s is None:
        return []
    names = {*lot.items, *(f"r-{item}" for item in lot.items)}
    return [
        f"{run} reached {upstream.name} after the end of {lot.id}"
        for upstream in (*world.engines, *world.services)
        for run, at_s in upstream.run_times
        if run in names and at_s > lot.ended_at_s + CANCEL_LIMIT_S
    ]


def _check_orders(world: worlds.World) -> list[str]:
    found = []
    for engine in world.engines:
        fences = [order["fence"] for order in engine.orders]
        if fences != sorted(fences):  # type: ignore[type-var]
            found.append(
                f"{engine.name} accepted orders of decreasing fences {fences}"
            )
    return found


def _check_poison(
    world: worlds.World, injected: abc.Sequence[tuple[float, str]]
) -> list[str]:
    """Check how often a request reaches upstreams that it has crashed."""
    crashes = sorted(
        at_s
        for upstream in world.services
        for request_id, at_s in upstream.crashes
        if request_id.startswith(clients.POISON_PREFIX)
    )
    if len(crashes) < 3:
        return []
    excuses = [
        at_s for at_s, kind in injected if kind.startswith(INSTANCE_FAULTS)
    ]
    late = [
        f"{run} at {upstream.name}"
        for upstream in world.services
        for run, at_s in upstream.run_times
        if run.startswith(clients.POISON_PREFIX)
        and at_s > crashes[2] + NEWS_BOUND_S
        and not any(0 <= at_s - x < EXCUSED_S for x in excuses)
    ]
    if len(late) > POISON_RETRIES:
        return [f"a request that crashed three came again: {late}"]
    return []


def _check_streams(callers: clients.Callers) -> list[str]:
    """Check that no stream holds events of two software versions."""
    found = []
    for stream in callers.streams:
        versions = {event.partition("@")[2] for event in stream.events}
        if len(versions) > 1:
            found.append(f"{stream.id} joins events of {sorted(versions)}")
    return found


def _check_leaving(world: worlds.World, callers: clients.Callers) -> list[str]:
    """Check what upstreams get that have said that they leave.

    An instance that was not told hears it from its first response.
    """
    sent_at_s = {call.id: call.at_s for call in callers.calls}
    found = []
    for upstream in world.services:
        since_s = upstream.leaving_since
        if since_s is None:
            continue
        late = [
            run
            for run in upstream.runs
            if sent_at_s.get(run, 0.0) > since_s + LEAVING_BOUND_S
        ]
        if len(late) > len(world.daemons):
            found.append(f"{upstream.name} leaves and got {late}")
    return found


def _check_recovery(callers: clients.Callers, healed_at_s: float) -> list[str]:
    after = [
        call
        for call in callers.calls
        if call.repeatable and call.at_s > healed_at_s
    ]
    served = sum(call.status == 200 for call in after)
    if len(after) > 20 and served < MIN_SERVED_SHARE * len(after):
        return [
            f"after the faults only {served} of {len(after)} calls were served"
        ]
    return []
