"""Idle time, staleness and waste stay within their targets."""

from benchmarks import stragglers


def test_owners_weights_give_different_points_within_the_targets():
    rows = {
        (row["policy"], row["lengths"]): row
        for row in stragglers.run(seed=1, small=True)["rows"]
    }
    for distribution in ("log-normal", "pareto"):
        idle_weighted = rows["idle-weighted", distribution]
        even = rows["even", distribution]
        low_staleness = rows["staleness-weighted", distribution]
        baseline = rows["neither", distribution]["idle_ms_per_step"]
        assert idle_weighted["idle_ms_per_step"] <= baseline / 2
        assert even["idle_ms_per_step"] <= baseline / 2
        assert low_staleness["staleness_mean"] < even["staleness_mean"]
        assert even["staleness_mean"] < idle_weighted["staleness_mean"]
        for row in (idle_weighted, even, low_staleness):
            assert row["staleness_p99"] <= stragglers.STALENESS_BOUND
            assert row["waste_percent"] < 10
