"""Weight rollouts finish in time and keep enough engines serving."""

from benchmarks import weights


def test_all_engines_switch_in_time_and_enough_keep_serving():
    for row in weights.run(seed=1, small=True)["rows"]:
        assert 0 <= row["switch_ms"] <= 6_000
        assert row["least_serving_share"] >= weights.MIN_SERVING
        assert row["superseded_ms"] >= 0
        assert row["resumed_issuer"]["engines_set_back"] > 0
        assert row["resumed_issuer"]["mended_ms"] >= 0
