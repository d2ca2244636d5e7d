"""Membership meets its targets in the small experiment, on a manual clock."""

from benchmarks import membership


def test_small_fleets_meet_the_targets():
    report = membership.run(seed=1, small=True)
    for row in report["sizes"]:
        assert row["false_deaths"] == 0
        assert 0 < row["crash_known_in_data_centre_ms"] <= 3_000
        assert 0 <= row["rumour_known_everywhere_ms"] <= 2_000
        assert row["bytes_per_s"] <= 10_000
    cut_off = report["cut_off"]
    assert not cut_off["crossed_while_cut"]
    assert 0 <= cut_off["both_sides_know_ms"] <= 10_000
    assert cut_off["false_deaths"] == 0
