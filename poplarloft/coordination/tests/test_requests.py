"""Retries, health, poison, admission and routing decisions."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from poplarloft import coordination
from poplarloft import state

Kind = coordination.FailureKind
NOT_RUN, MAY = state.Verdict.NOT_RUN, state.Verdict.MAY_HAVE_RUN


# Each row of the table in docs/operators/retries.md.
@pytest.mark.parametrize(
    "kind, verdict, retries",
    [
        (Kind.CONNECT_REFUSED, NOT_RUN, True),
        (Kind.CONNECT_TIMEOUT, NOT_RUN, True),
        (Kind.RESET_BEFORE_SEND, NOT_RUN, True),
        (Kind.REFUSED_WITH_PROOF, NOT_RUN, True),
        (Kind.REFUSED_WITHOUT_PROOF, MAY, False),
        (Kind.RESET_AFTER_SEND, MAY, False),
        (Kind.TRUNCATED_RESPONSE, MAY, False),
        (Kind.TIMEOUT, MAY, False),
        (Kind.MALFORMED_RESPONSE, MAY, False),
    ],
)
def test_verdict_and_retry_of_a_non_repeatable_request(kind, verdict, retries):
    assert coordination.verdict_of(kind) is verdict
    plan = _plan(state.ManualClock(), repeatable=False)
    decision = plan.on_failure(coordination.Failure("a", kind))
    assert isinstance(decision, coordination.Retry) is retries


def _plan(clock, repeatable, budget=None, attempts=3):
    budget = budget or coordination.RetryBudget(clock)
    return coordination.AttemptPlan(clock, budget, repeatable, 5_000, attempts)


@hypothesis.given(
    kinds=strategies.lists(
        strategies.sampled_from(Kind), min_size=1, max_size=5
    ),
    repeatable=strategies.booleans(),
)
def test_refusal_is_not_run_only_if_no_attempt_may_have_run(kinds, repeatable):
    plan = _plan(state.ManualClock(), repeatable, attempts=9)
    for kind in kinds:
        decision = plan.on_failure(coordination.Failure("a", kind))
        if isinstance(decision, coordination.GiveUp):
            break
    refusal = plan.on_no_upstream("app").refusal
    made = [coordination.verdict_of(f.kind) for f in plan.failures]
    assert (refusal.verdict is NOT_RUN) == (set(made) == {NOT_RUN})
    if not repeatable:
        assert MAY not in made[:-1]


def test_attempts_stay_within_a_tenth_above_arrivals_in_an_outage():
    clock = state.ManualClock()
    budget = coordination.RetryBudget(clock)
    attempts = 0
    for _ in range(1_000):
        plan = _plan(clock, True, budget)
        decision = coordination.Retry(frozenset())
        while isinstance(decision, coordination.Retry):
            attempts += 1
            failure = coordination.Failure("a", Kind.CONNECT_REFUSED)
            decision = plan.on_failure(failure)
    assert attempts <= 1.1 * 1_000


def test_no_attempt_starts_after_the_deadline():
    clock = state.ManualClock()
    plan = _plan(clock, True)
    clock.advance(5_000)
    decision = plan.on_failure(coordination.Failure("a", Kind.TIMEOUT))
    assert decision.refusal.reason is state.Reason.DEADLINE


def test_at_most_half_of_the_upstreams_are_ejected():
    clock = state.ManualClock()
    tracker = coordination.HealthTracker(clock)
    names = ["a", "b", "c", "d"]
    for name in names:
        for _ in range(3):
            tracker.on_failure(name)
    assert len(tracker.usable(names)) == 2
    tracker.on_success("a")
    assert "a" in tracker.usable(names)


def test_ejected_upstream_gets_one_probe_after_its_ejection():
    clock = state.ManualClock()
    tracker = coordination.HealthTracker(clock)
    for _ in range(3):
        tracker.on_failure("a")
    assert tracker.usable(["a", "b"]) == ["b"]
    clock.advance(1_000)
    assert tracker.usable(["a", "b"]) == ["a", "b"]
    tracker.on_chosen("a")
    assert tracker.usable(["a", "b"]) == ["b"]
    tracker.on_failure("a")
    clock.advance(1_000)
    assert tracker.usable(["a", "b"]) == ["b"]
    clock.advance(1_000)
    assert tracker.usable(["a", "b"]) == ["a", "b"]


def _guard(name="entry-1"):
    clock = state.ManualClock(1_000)
    return coordination.PoisonGuard(clock, clock), clock


def _crash(guard, upstream, *fingerprints):
    for fingerprint in fingerprints:
        guard.on_dispatch(upstream, 1, fingerprint)
    guard.on_reset(upstream, 1)
    return guard.on_crash(upstream, 1)


def test_crash_is_counted_once_per_request():
    guard, _ = _guard()
    updates = _crash(guard, "e1", "f1", "f2")
    assert len(updates) == 2
    assert guard.on_crash("e1", 1) == []
    assert guard.status_of("f1") is coordination.FingerprintStatus.SUSPECT


def test_all_instances_give_each_suspect_the_same_separate_upstream():
    first, _ = _guard("entry-1")
    second, _ = _guard("entry-2")
    for update in _crash(first, "e1", "f1", "f2", "f3"):
        second.on_update(update)
    engines = ["e2", "e3", "e4"]
    chosen = [first.placement(f, engines) for f in ("f1", "f2", "f3")]
    assert sorted(chosen) == engines
    assert [second.placement(f, engines) for f in ("f1", "f2", "f3")] == chosen
    assert first.placement("f3", ["e2", "e3"]) is None


def test_two_sole_suspect_crashes_quarantine_until_release():
    guard, clock = _guard()
    _crash(guard, "e1", "f1", "f2")
    _crash(guard, "e2", "f1")
    _crash(guard, "e3", "f1")
    assert guard.status_of("f1") is coordination.FingerprintStatus.QUARANTINED
    assert guard.status_of("f2") is coordination.FingerprintStatus.SUSPECT
    guard.release("f1")
    assert guard.status_of("f1") is coordination.FingerprintStatus.CLEAR


def test_suspect_that_completes_is_cleared():
    guard, clock = _guard()
    _crash(guard, "e1", "f1", "f2")
    (update,) = guard.on_completed("f2")
    assert isinstance(update, state.ClearedUpdate)
    assert guard.status_of("f2") is coordination.FingerprintStatus.CLEAR
    assert guard.status_of("f1") is coordination.FingerprintStatus.SUSPECT


def test_reset_by_a_listening_upstream_is_no_crash():
    guard, _ = _guard()
    guard.on_dispatch("e1", 1, "f1")
    guard.on_reset("e1", 1)
    guard.on_reset_without_crash("e1", 1)
    assert guard.on_crash("e1", 1) == []
    assert guard.status_of("f1") is coordination.FingerprintStatus.CLEAR


def test_dead_member_keeps_its_part_of_a_fleet_limit_until_it_left():
    def member(name, status):
        address = state.Address("127.0.0.1", 1)
        location = state.Location("r", "d")
        return state.MemberRecord(
            name, 1, 0, status, address, address, location
        )

    alive, dead, left = (
        state.MemberStatus.ALIVE,
        state.MemberStatus.DEAD,
        state.MemberStatus.LEFT,
    )
    both = [member("a", alive), member("b", alive)]
    assert coordination.per_instance_limit(10.0, both) == 5.0
    assert (
        coordination.per_instance_limit(10.0, [both[0], member("b", dead)])
        == 5.0
    )
    assert (
        coordination.per_instance_limit(10.0, [both[0], member("b", left)])
        == 10.0
    )


def test_batch_keeps_its_minimum_share_beside_live_requests():
    clock = state.ManualClock()
    settings = coordination.AdmissionSettings(max_concurrent=1)
    admission = coordination.AdmissionController(clock, settings)
    cost = coordination.CostEstimate(10.0)
    admitted = []

    def record(decisions):
        admitted.extend(decisions)

    classes = {}
    for _ in range(100):
        for name in ("live", "batch"):
            ticket, decisions = admission.request("a", name, cost, 100_000)
            classes[ticket] = name
            record(decisions)
    while len(admitted) < 100:
        record(admission.done(admitted[-1].ticket))
    batch = sum(classes[d.ticket] == "batch" for d in admitted)
    assert 5 <= batch <= 15


def test_full_queue_and_missed_deadline_are_refused_for_different_reasons():
    clock = state.ManualClock()
    settings = coordination.AdmissionSettings(max_concurrent=1, max_queued=1)
    admission = coordination.AdmissionController(clock, settings)
    cost = coordination.CostEstimate(10.0)

    def refusal_of(deadline_ms):
        _, decisions = admission.request("a", "live", cost, deadline_ms)
        return decisions[0].refusal.detail if decisions else None

    assert "missed by" in refusal_of(1)
    admission.request("a", "live", cost, 100_000)
    assert refusal_of(100_000) is None
    assert "is full" in refusal_of(100_000)


registry_events = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["list", "notice"]),
        strategies.integers(1, 3),
        strategies.sampled_from(state.UpstreamStatus),
    ),
    max_size=8,
)


@hypothesis.given(events=registry_events)
def test_late_live_never_reverts_a_leaving(events):
    registry = coordination.UpstreamRegistry(state.ManualClock())
    newest_leaving = 0
    for source, incarnation, status in events:
        upstream = _upstream(incarnation, status)
        if source == "list":
            registry.on_list((upstream,))
        else:
            registry.on_leaving(
                "u", incarnation, coordination.NoticeSource.PEER
            )
        if source == "notice" or status is state.UpstreamStatus.LEAVING:
            newest_leaving = max(newest_leaving, incarnation)
        for eligible in registry.eligible("app"):
            assert eligible.incarnation > newest_leaving


def _upstream(incarnation, status):
    return state.Upstream(
        "u",
        incarnation,
        "app",
        state.UpstreamKind.PLAIN,
        state.Address("127.0.0.1", 1),
        state.Location("r", "d"),
        status,
    )


def test_removed_upstream_moves_only_the_keys_it_ranked_first_for():
    rng = random.Random(1)
    names = [f"e{n}" for n in range(10)]
    keys = [str(rng.random()) for _ in range(200)]
    before = {k: coordination.rendezvous_rank(k, names)[0] for k in keys}
    after = {k: coordination.rendezvous_rank(k, names[1:])[0] for k in keys}
    moved = [k for k in keys if before[k] != after[k]]
    assert all(before[k] == "e0" for k in moved)


def test_cache_gap_discards_cache_contents():
    clock = state.ManualClock()
    view = coordination.LoadView(clock)
    request = coordination.RouteRequest(prefix=(1, 2))
    view.on_dispatch("e1", request)
    assert view.candidate("e1", 0.0).cached == {1, 2}
    view.on_cache_gap("e1")
    assert view.candidate("e1", 0.0).cached == frozenset()


def test_load_counts_dispatches_since_a_report_but_no_stale_report():
    clock = state.ManualClock(10_000)
    view = coordination.LoadView(clock, stale_after_ms=1_000)
    request = coordination.RouteRequest(expected_tokens=50)
    view.on_report(state.LoadReport("e1", 9_900, 3, 400))
    ticket = view.on_dispatch("e1", request)
    assert view.candidate("e1", 0.0).queued_tokens == 450
    clock.advance(2_000)
    assert view.candidate("e1", 0.0).queued_tokens == 50
    view.on_done("e1", ticket)
    assert view.candidate("e1", 0.0).queued_tokens == 0


def test_shortlists_of_all_instances_share_the_preferred_upstreams():
    names = tuple(f"e{n}" for n in range(100))
    request = coordination.RouteRequest(prefix=(7, 8))
    first = coordination.Shortlist(random.Random(1)).choose(request, names)
    second = coordination.Shortlist(random.Random(2)).choose(request, names)
    assert first[:4] == second[:4]
    assert len(set(first)) == len(first) <= 16


def test_short_list_of_upstreams_is_returned_unchanged():
    names = ("a", "b")
    request = coordination.RouteRequest(prefix=(7,))
    shortlist = coordination.Shortlist(random.Random(1))
    assert shortlist.choose(request, names) == names


def test_expired_crash_counts_and_quarantines_are_dropped():
    guard, clock = _guard()
    _crash(guard, "e1", "f1", "f2")
    _crash(guard, "e2", "f1")
    _crash(guard, "e3", "f1")
    clock.advance(guard.settings.retention_ms + 1)
    dropped = guard.drop_expired()
    assert ("crash", "f2/e1#1") in dropped
    assert guard.histories == {}
    clock.advance(guard.settings.quarantine_ms)
    assert guard.drop_expired() == [("quarantine", "f1")]
    assert guard.quarantined == {}


def test_refused_connections_do_not_use_up_attempts():
    clock = state.ManualClock()
    budget = coordination.RetryBudget(clock)
    plan = coordination.AttemptPlan(clock, budget, True, 5_000, 2)
    kind = coordination.FailureKind
    for name in ("a", "b", "c"):
        action = plan.on_failure(
            coordination.Failure(name, kind.CONNECT_REFUSED)
        )
        assert isinstance(action, coordination.Retry)
    plan.on_failure(coordination.Failure("d", kind.RESET_AFTER_SEND))
    action = plan.on_failure(coordination.Failure("e", kind.TIMEOUT))
    assert isinstance(action, coordination.GiveUp)
