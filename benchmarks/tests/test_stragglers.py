"""Idle time, staleness and waste within the stated targets."""

from benchmarks import stragglers


def test_owners_weights_give_different_points_within_the_targets():
    rows = {
        (row["policy"], row["lengths"]): row
        for row in stragglers.run(seed=1, small=True)["rows"]
    }
    for law in ("log-normal", "pareto"):
        idle_weighted = rows["idle-weighted", law]
        even = rows["even", law]
        fresh = rows["staleness-weighted", law]
        baseline = rows["neither", law]["idle_ms_per_step"]
        assert idle_weighted["idle_ms_per_step"] <= baseline / 2
        assert even["idle_ms_per_step"] <= baseline / 2
        assert fresh["staleness_mean"] < even["staleness_mean"]
        assert even["staleness_mean"] < idle_weighted["staleness_mean"]
        for row in (idle_weighted, even, fresh):
            assert row["staleness_p99"] <= stragglers.BOUND
            assert row["waste_percent"] < 10
