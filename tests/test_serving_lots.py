"""Lots end to end: faults of the store, of engines and of daemons."""

import asyncio
import json

import pytest

from tests import serving_fleet


@pytest.fixture
async def fleet():
    made = serving_fleet.Fleet()
    yield made
    await made.stop()


def check_complete(results, items, events):
    """Check that each item is listed once, complete and scored."""
    assert sorted(r["id"] for r in results) == sorted(
        f"item-{n}" for n in range(items)
    )
    for row in results:
        assert row["state"] == "completed"
        expected = [f"{row['id']}-{n}" for n in range(1, events + 1)]
        assert row["text"].split("\n") == expected
        number = row["id"].partition("-")[2]
        assert row["score"].endswith(f".reward-{number}")


async def test_lot_is_generated_scored_read_and_ended(fleet):
    await fleet.start(entries=2)
    assert await fleet.submit("lot-a", serving_fleet.lot_body(6)) == 202
    results = await fleet.read_all("lot-a", daemon=fleet.entries[1])
    check_complete(results, 6, 10)
    assert all(row["versions"] == [1] for row in results)
    status, _, body = await fleet.call(
        "GET", "/poplarloft/items/lot-a?id=item-3"
    )
    assert (status, body) == (200, b"prompt 3")
    for daemon in fleet.entries:
        status, _, _ = await fleet.call(
            "DELETE", "/poplarloft/lots/lot-a", daemon=daemon
        )
        assert status == 200
    assert await fleet.read_all("lot-a") == results


async def test_same_lot_is_accepted_once(fleet):
    await fleet.start(entries=2)
    body = serving_fleet.lot_body(4)
    for daemon in (*fleet.entries, *fleet.entries):
        assert await fleet.submit("lot-a", body, daemon) == 202
    check_complete(await fleet.read_all("lot-a"), 4, 10)
    await fleet.call("DELETE", "/poplarloft/lots/lot-a")
    ran = sum(len(engine.runs) for engine in fleet.engines)
    assert await fleet.submit("lot-a", body) == 202
    await asyncio.sleep(0.3)
    assert sum(len(engine.runs) for engine in fleet.engines) == ran


async def test_unknown_lot_is_404_and_unavailable_store_is_503(fleet):
    await fleet.start()
    assert (await fleet.read("nothing"))[0] == 404
    fleet.store.is_down = True
    assert (await fleet.read("nothing"))[0] == 503
    status, _, _ = await fleet.call("DELETE", "/poplarloft/lots/nothing")
    assert status == 503


async def test_refused_lot_never_runs(fleet):
    await fleet.start()
    fleet.store.is_down = True
    assert await fleet.submit("lot-a", serving_fleet.lot_body(2)) == 503
    fleet.store.is_down = False
    await asyncio.sleep(0.5)
    assert not any(engine.runs for engine in fleet.engines)
    assert (await fleet.read("lot-a"))[0] == 404


@pytest.mark.parametrize("fault", ["lost_writes", "late_writes"])
async def test_lost_store_responses_lose_and_repeat_no_item(fleet, fault):
    await fleet.start()
    setattr(fleet.store, fault, 1)
    assert await fleet.submit("lot-a", serving_fleet.lot_body(6)) == 202
    setattr(fleet.store, fault, 2)
    check_complete(await fleet.read_all("lot-a"), 6, 10)


async def test_truncated_output_resumes_at_its_next_event(fleet):
    await fleet.start()
    for engine in fleet.engines:
        engine.breaks_after = 5
    await fleet.submit("lot-a", serving_fleet.lot_body(4, events=30))
    check_complete(await fleet.read_all("lot-a"), 4, 30)
    resumed = [row for engine in fleet.engines for row in engine.resumed]
    assert resumed and all(event_count == 5 for _, event_count in resumed)


async def test_item_that_always_fails_is_listed_as_down(fleet):
    await fleet.start()
    for engine in fleet.engines:
        engine.failing = 3
    await fleet.submit("lot-a", serving_fleet.lot_body(1))
    results = await fleet.read_all("lot-a")
    assert [row["state"] for row in results] == ["down"]
    assert sum(len(engine.runs) for engine in fleet.engines) == 3


async def test_standby_resumes_outputs_of_a_crashed_leader(fleet):
    await fleet.start(bulks=2)
    for engine in fleet.engines:
        engine.event_ms = 30
    await serving_fleet.eventually(
        lambda: any(d.election.scheduler for d in fleet.bulks)
    )
    await fleet.submit("lot-a", serving_fleet.lot_body(2, events=100))
    await asyncio.sleep(2)
    leader = next(d for d in fleet.bulks if d.election.scheduler)
    await fleet.kill(leader)
    check_complete(await fleet.read_all("lot-a"), 2, 100)
    resumed = [
        event_count for e in fleet.engines for _, event_count in e.resumed
    ]
    assert resumed and max(resumed) >= 20


async def test_each_engine_gets_one_order_from_the_leader(fleet):
    await fleet.start()
    await fleet.store.put("op/version/m", b'{"model":"m","version":2}')
    await serving_fleet.eventually(
        lambda: all(e.versions["m"] == 2 for e in fleet.engines)
    )
    for engine in fleet.engines:
        assert [order["expected"] for order in engine.orders] == [0]
        assert engine.orders[0]["holder"] == "bulk-0"


async def test_outputs_below_the_minimum_version_are_rejected(fleet):
    await fleet.start()
    await fleet.store.put("op/version/m", b'{"model":"m","version":2}')
    body = serving_fleet.lot_body(4, min_version=2)
    await fleet.submit("lot-a", body)
    results = await fleet.read_all("lot-a")
    assert all(row["versions"] == [2] for row in results)


async def test_ended_lot_starts_no_more_items(fleet):
    await fleet.start()
    for engine in fleet.engines:
        engine.event_ms = 50
    await fleet.submit("lot-a", serving_fleet.lot_body(30, events=20))
    await asyncio.sleep(0.3)
    status, _, _ = await fleet.call("DELETE", "/poplarloft/lots/lot-a")
    assert status == 200
    await asyncio.sleep(0.3)
    ran = [list(engine.runs) for engine in fleet.engines]
    await asyncio.sleep(1)
    assert [list(engine.runs) for engine in fleet.engines] == ran


async def test_store_is_listed_again_after_compaction(fleet):
    await fleet.start()
    fleet.store.compact_history()
    assert await fleet.submit("lot-a", serving_fleet.lot_body(2)) == 202
    fleet.store.compact_history()
    check_complete(await fleet.read_all("lot-a"), 2, 10)


@pytest.mark.parametrize(
    "body",
    [b"", b"{}", b'{"items":[]}', b'{"items":[{"id":1}]}', b"\xff\xfe"],
)
async def test_malformed_lot_is_rejected_with_a_reason(fleet, body):
    await fleet.start()
    status, _, response = await fleet.call(
        "POST", "/l/x", body, (("x-request-id", "lot-a"),)
    )
    assert status == 400
    assert b"lot" in response or b"items" in response


def damaged_lot(**changes):
    document = json.loads(serving_fleet.lot_body(2))
    document["items"][1].update(changes)
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    "changes",
    [
        {"path": "/l/with space"},
        {"headers": {"X-Model": "m\r\nX-Smuggled: 1"}},
        {"headers": {"not a name": "v"}},
        {"headers": {"Content-Length": "3"}},
        {"id": "line\nbreak"},
        {"scorer": {"id": "r", "host": "h\n", "path": "/p/"}},
    ],
)
async def test_item_that_cannot_be_sent_is_rejected(fleet, changes):
    await fleet.start()
    assert await fleet.submit("lot-a", damaged_lot(**changes)) == 400
    assert await fleet.submit("lot-b", serving_fleet.lot_body(2)) == 202
    check_complete(await fleet.read_all("lot-b"), 2, 10)


async def test_item_whose_run_fails_unexpectedly_is_listed_as_down(fleet):
    await fleet.start()
    generator_of = fleet.bulks[0].election
    await serving_fleet.eventually(lambda: generator_of.scheduler)
    client = generator_of.scheduler.lots.generator.client
    attempts = []

    async def fail(sampler, host, item, *args):
        attempts.append(item.id)
        raise RuntimeError("unexpected")

    client.start_item = fail
    assert await fleet.submit("lot-a", serving_fleet.lot_body(1)) == 202
    results = await fleet.read_all("lot-a")
    assert [row["state"] for row in results] == ["down"]
    assert len(attempts) == 3


async def test_undecodable_record_is_no_reason_to_come_back(fleet):
    await fleet.start()
    assert await fleet.submit("lot-a", serving_fleet.lot_body(1)) == 202
    await fleet.store.put("lots/lot-a", b"damaged")
    fleet.entries[0].lot_service.cache.lots.clear()
    status, headers, body = await fleet.call(
        "GET", "/poplarloft/items/lot-a?id=item-0"
    )
    assert status == 502
    assert b"cannot decode" in body
    assert "retry-after" not in headers


async def test_scheduler_stops_twice_and_before_its_start(fleet):
    """A bulk daemon stops it on SIGTERM, and its election once more."""
    await fleet.start()
    daemon = fleet.bulks[0]
    await serving_fleet.eventually(lambda: daemon.election.scheduler)
    scheduler = daemon.election.scheduler
    await scheduler.stop()
    await scheduler.stop()
    unstarted = daemon._make_scheduler(1)
    await unstarted.stop()
    await unstarted.start()
    assert unstarted.wake not in daemon.views.operator.listeners
    assert not unstarted.task_set.tasks


@pytest.mark.parametrize("piece", [b"x", b"x" * 100_000])
async def test_engine_that_completes_no_event_is_left(fleet, piece):
    """Whether it sends single bytes now and then, or bytes without end."""
    fleet.engines[0].unfinished_event = piece
    fleet.engines[0].event_ms = 50
    await fleet.start()
    assert await fleet.submit("lot-a", serving_fleet.lot_body(4)) == 202
    check_complete(await fleet.read_all("lot-a", timeout_s=30), 4, 10)
    assert fleet.engines[0].runs


async def test_an_item_under_which_engines_crash_again_and_again_completes(
    fleet,
):
    await fleet.start()
    for engine in fleet.engines:
        engine.resets = 6
    assert await fleet.submit("lot", serving_fleet.lot_body(1)) == 202
    (row,) = await fleet.read_all("lot", timeout_s=40)
    assert row["state"] == "completed"
    assert sum(engine.runs.count("item-0") for engine in fleet.engines) > 6
