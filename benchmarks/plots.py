"""Plot experiment results for the documentation.

``python -m benchmarks.plots docs/design`` writes one PNG file per plot.
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
    """Plot trainer idle time against staleness, one point per policy."""
    drawing = figure.Figure(figsize=(6.4, 4.0))
    axes = drawing.subplots()
    for distribution, marker in (("log-normal", "o"), ("pareto", "s")):
        selected = [row for row in rows if row["lengths"] == distribution]
        axes.scatter(
            [row["staleness_mean"] for row in selected],
            [row["idle_ms_per_step"] / 1_000 for row in selected],
            marker=marker,
            label=f"{distribution} lengths",
        )
        for row in selected:
            position = (row["staleness_mean"], row["idle_ms_per_step"] / 1_000)
            axes.annotate(row["policy"], position, fontsize=7)
    axes.set_xlabel("mean staleness on use, versions")
    axes.set_ylabel("trainer idle time per step, s")
    axes.set_ylim(bottom=0)
    axes.legend()
    drawing.savefig(path, dpi=110, bbox_inches="tight")


def main() -> None:
    """Write all plots to the folder named by the first argument."""
    folder = pathlib.Path(sys.argv[1])
    rows = stragglers.run(SEED, small=False)["rows"]
    path = folder / "idle-against-staleness.png"
    draw_idle_against_staleness(rows, path)


if __name__ == "__main__":
    main()
