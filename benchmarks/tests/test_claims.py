"""Claims stay within the target for key-value calls and grant a key once."""

from benchmarks import claims


def test_grouped_claims_meet_the_target_at_500_a_second():
    report = claims.run(seed=1, small=True)
    (row,) = [
        row
        for row in report["rows"]
        if row["way"] == "book-per-shard" and row["rate_per_s"] == 500
    ]
    assert row["calls_per_thousand"] <= 20
    assert row["decisions"]["granted"] > 1_000
    assert all(row["granted_twice"] == 0 for row in report["rows"])
