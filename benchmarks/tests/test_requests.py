"""Admission, poison guard and routing meet their targets at small sizes."""

from benchmarks import admission
from benchmarks import poison
from benchmarks import routing


def test_poison_crashes_at_most_three_engines_and_spares_other_requests():
    guarded, baseline = poison.run(seed=1, small=True)["rows"]
    assert guarded["crashes_by_poison"] > 0
    assert guarded["crashes_per_poison_max"] <= 3
    assert guarded["innocents_quarantined_percent"] < 0.1
    assert baseline["crashes_per_poison_max"] > 3


def test_fair_shares_hold_and_deadlines_are_met():
    rows = {
        (row["load"], row["admission"]): row
        for row in admission.run(seed=1, small=True)["rows"]
    }
    alone = rows["b-alone", "fair"]["owners"]["b"]["p99_ms"]
    beside = rows["a-at-10x", "fair"]["owners"]["b"]["p99_ms"]
    assert beside <= 1.2 * alone
    assert rows["only-a", "fair"]["utilisation"] >= 0.95
    for figures in rows["both-at-2x", "fair"]["owners"].values():
        assert figures["in_time_percent"] >= 95
    assert all(row["refused_after_run"] == 0 for row in rows.values())


def test_scored_routing_halves_first_token_time_under_shared_prefixes():
    rows = {
        (row["shared_prefixes"], row["policy"]): row
        for row in routing.run(seed=1, small=True)["rows"]
    }
    scored = rows[True, "scored"]["p50_ms"]
    assert scored <= 0.5 * rows[True, "round-robin"]["p50_ms"]
    without = rows[False, "scored"]["p50_ms"]
    assert without <= 1.05 * rows[False, "least-loaded"]["p50_ms"]
