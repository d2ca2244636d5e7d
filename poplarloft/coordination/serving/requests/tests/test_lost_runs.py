"""Evidence on whether an upstream crashed where a connection was lost."""

import dataclasses

import pytest

from poplarloft.coordination import serving
from poplarloft.coordination.serving.requests import lost_runs
from poplarloft import state

SAMPLER = state.Sampler("s", 5, "app", state.Address("h", 1), "z", 4)
RESTARTED = dataclasses.replace(SAMPLER, born_ms=9)
LEAVING = dataclasses.replace(SAMPLER, is_leaving=True)
Outcome = state.ProbeOutcome
CRASHED, ALIVE = serving.VerdictKind.CRASHED, serving.VerdictKind.ALIVE


@pytest.fixture
def clock():
    return state.ManualClock(1_000)


@pytest.fixture
def registry(clock):
    made = serving.SamplerRegistry(clock)
    made.on_store_available()
    clock.advance(10_000)
    made.announce(SAMPLER)
    return made


@pytest.fixture
def lost(clock, registry):
    return serving.LostRuns(clock, registry)


@pytest.mark.parametrize(
    "outcome, kind",
    [
        (Outcome.REFUSED, CRASHED),
        (Outcome.OTHER_RUN, CRASHED),
        (Outcome.SAME_RUN, ALIVE),
    ],
)
def test_a_probe_that_names_the_run_decides(lost, outcome, kind):
    assert lost.on_lost(SAMPLER) is None
    verdict = lost.on_probe(SAMPLER.engine_id, outcome)
    assert verdict.kind is kind
    assert verdict.evidence == outcome.value
    assert lost.pending == {}


@pytest.mark.parametrize("outcome", [Outcome.SILENT, Outcome.ANSWERED])
def test_an_announcement_of_another_run_decides_later(
    lost, registry, clock, outcome
):
    lost.on_lost(SAMPLER)
    assert lost.on_probe(SAMPLER.engine_id, outcome) is None
    assert lost.on_announcements() == []
    clock.advance(2_000)
    registry.announce(RESTARTED)
    (verdict,) = lost.on_announcements()
    assert (verdict.kind, verdict.age_ms) == (CRASHED, 2_000)


def test_a_silent_upstream_whose_announcement_is_removed_has_crashed(
    lost, registry
):
    lost.on_lost(SAMPLER)
    lost.on_probe(SAMPLER.engine_id, Outcome.SILENT)
    registry.remove(SAMPLER.name)
    (verdict,) = lost.on_announcements()
    assert (verdict.kind, verdict.evidence) == (CRASHED, "removed-silent")


def test_a_removal_during_an_outage_of_the_store_is_no_evidence(
    lost, registry
):
    lost.on_lost(SAMPLER)
    registry.on_store_unavailable()
    registry.remove(SAMPLER.name)
    assert lost.on_announcements() == []


def test_an_upstream_that_answered_and_is_removed_has_not_crashed(
    lost, registry, clock
):
    lost.on_lost(SAMPLER)
    lost.on_probe(SAMPLER.engine_id, Outcome.ANSWERED)
    registry.remove(SAMPLER.name)
    assert lost.on_announcements() == []
    clock.advance(lost_runs.ANSWERED_WATCH_MS)
    (verdict,) = lost.expire()
    assert (verdict.kind, verdict.evidence) == (ALIVE, "no-evidence")


def test_a_planned_end_is_no_crash(lost, registry):
    registry.announce(LEAVING)
    assert lost.on_lost(SAMPLER).evidence == "was-leaving"
    registry.remove(SAMPLER.name)
    assert lost.on_lost(SAMPLER).evidence == "was-removed"
    assert lost.pending == {}


def test_a_run_that_was_replaced_before_the_loss_was_seen_has_crashed(
    lost, registry
):
    registry.announce(RESTARTED)
    assert lost.on_lost(SAMPLER).kind is CRASHED


def test_silence_without_other_evidence_is_no_crash(lost, clock):
    lost.on_lost(SAMPLER)
    lost.on_probe(SAMPLER.engine_id, Outcome.SILENT)
    assert lost.to_probe() == [SAMPLER]
    clock.advance(lost_runs.WATCH_MS)
    (verdict,) = lost.expire()
    assert verdict.kind is ALIVE
