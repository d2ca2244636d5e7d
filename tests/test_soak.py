"""A short run of the soak, and its checks on records with violations."""

import dataclasses
import pathlib

import pytest

from poplarloft_soak import __main__ as soak
from poplarloft_soak import checks
from poplarloft_soak import clients
from poplarloft_soak import processes
from poplarloft_soak import world as worlds

pytestmark = pytest.mark.alone

# Seeds that ever failed, each with its cause; kept as regression cases.
REGRESSION_SEEDS: dict[int, str] = {
    28: "another soak listened on the same port",
    29: "another soak listened on the same port",
    38: "another soak listened on the same port",
    102: "two faults crashed the same upstream, which started twice",
}


@pytest.mark.parametrize("seed", [7, *REGRESSION_SEEDS])
async def test_short_seeded_run_has_no_violations(seed, tmp_path):
    report = await soak.run_seed(seed, 5.0, 2, tmp_path)
    assert report["violations"] == []
    assert report["calls"].get("200", 0) > 20
    assert report["lots_whole"] > 0


def records(tmp_path):
    world = worlds.World(tmp_path)
    return world, clients.Callers(world, 0)


def lot_record(**changes):
    lot = clients.LotRecord("lot", {"i": 2}, 2)
    lot.statuses = [202]
    row = {
        "id": "i",
        "state": "completed",
        "text": "i-1\ni-2",
        "versions": [2],
        "score": "s.r-i",
    }
    lot.results = [{**row, **changes}]
    lot.reread = lot.results
    return lot


def call(repeatable=False, status=200, body=b"answer to c", stamp="s.c"):
    return clients.CallRecord("c", repeatable, status, body, stamp, 0.0)


@pytest.mark.parametrize(
    ("record", "runs", "words"),
    [
        (call(), ["c", "c"], "ran 2 times"),
        (call(status=503), ["c"], "answered 503 and ran"),
        (call(body=b"answer to d"), ["c"], "another body"),
        (call(stamp="s.d"), ["c"], "the signature"),
        (call(status=404), [], "denied"),
        (lot_record(text="i-1"), [], "not its own"),
        (lot_record(versions=[1]), [], "versions [1]"),
        (lot_record(score="s.r-j"), [], "the score"),
        (lot_record(id="j"), [], "foreign"),
    ],
)
def test_checks_find_each_violation(tmp_path, record, runs, words):
    world, callers = records(tmp_path)
    world.services[0].runs += runs
    if isinstance(record, clients.CallRecord):
        callers.calls.append(record)
    else:
        callers.lots.append(record)
    found = checks.find_violations(world, callers, 1.0)
    assert len(found) == 1 and words in found[0]


def test_checks_find_lots_that_change_or_run_unaccepted(tmp_path):
    world, callers = records(tmp_path)
    changed, refused, ended = lot_record(), lot_record(), lot_record()
    changed.reread = []
    changed.results = changed.results * 2
    refused.statuses = [503, 503]
    refused.results = refused.reread = []
    ended.ended_at_s = 10.0
    callers.lots += [changed, refused, ended]
    world.engines[0].runs.append("i")
    world.engines[0].run_times.append(("i", 14.0))
    world.engines[0].orders += [{"fence": 3}, {"fence": 2}]
    found = " ".join(checks.find_violations(world, callers, 1.0))
    for words in ("twice", "refused each time", "after the end", "fences"):
        assert words in found


def test_no_address_is_handed_out_twice():
    addresses = [processes.free_address() for _ in range(2_000)]
    assert len(set(addresses)) == 2_000


def test_soak_stays_under_a_tenth_of_the_code():
    root = pathlib.Path(__file__).parent.parent

    def lines(folder):
        return sum(
            len(path.read_text().splitlines())
            for path in (root / folder).rglob("*.py")
        )

    assert lines("poplarloft_soak") < lines("poplarloft") / 10


def test_a_poison_request_that_comes_again_is_a_violation(tmp_path):
    world, callers = records(tmp_path)
    service = world.services[0]
    service.crashes = [("poison-1", at_s) for at_s in (1.0, 2.0, 3.0)]
    service.run_times = [(f"poison-{n}", 10.0 + n) for n in range(4)]
    (found,) = checks.find_violations(world, callers, 0.0)
    assert "came again" in found
    excuse = [(9.0, "daemon-killed")]
    assert checks.find_violations(world, callers, 0.0, excuse) == []


def test_joined_versions_and_late_requests_are_violations(tmp_path):
    world, callers = records(tmp_path)
    stream = clients.StreamRecord("s", ["s-1@v1", "s-2@v2"])
    callers.streams = [stream]
    (found,) = checks.find_violations(world, callers, 0.0)
    assert "joins events" in found
    stream.events = ["s-1@v1", "s-2@v1"]
    assert checks.find_violations(world, callers, 0.0) == []
    world.services[0].leaving_since = 1.0
    world.services[0].runs = ["c"]
    callers.calls = [dataclasses.replace(call(), at_s=5.0)]
    (found,) = checks.find_violations(world, callers, 0.0)
    assert "leaves and got" in found
