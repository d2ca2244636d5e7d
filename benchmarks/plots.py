"""Draws the plots of the documentation from experiments.

``python -m benchmarks.plots docs/design`` writes one file per plot.
"""

import pathlib
import sys
import typing

from matplotlib import figure

from benchmarks import stragglers

__all__ = ["draw_idle_against_staleness"]

SEED = 1


def draw_idle_against_staleness(
    rows: list[dict[str, typing.Any]], path: pathlib.Path
) -> None:
    """Draw trainer idle time against staleness, a point per policy."""
    drawing = figure.Figure(figsize=(6.4, 4.0))
    axes = drawing.subplots()
    for law, marker in (("log-normal", "o"), ("pareto", "s")):
        chosen = [row for row in rows if row["lengths"] == law]
        axes.scatter(
            [row["staleness_mean"] for row in chosen],
            [row["idle_ms_per_step"] / 1_000 for row in chosen],
            marker=marker,
            label=f"{law} lengths",
        )
        for row in chosen:
            place = (row["staleness_mean"], row["idle_ms_per_step"] / 1_000)
            axes.annotate(row["policy"], place, fontsize=7)
    axes.set_xlabel("mean staleness on use, versions")
    axes.set_ylabel("trainer idle time per step, s")
    axes.set_ylim(bottom=0)
    axes.legend()
    drawing.savefig(path, dpi=110, bbox_inches="tight")


def main() -> None:
    """Write all plots into the folder that the first argument names."""
    folder = pathlib.Path(sys.argv[1])
    rows = stragglers.run(SEED, small=False)["rows"]
    path = folder / "idle-against-staleness.png"
    draw_idle_against_staleness(rows, path)


if __name__ == "__main__":
    main()
