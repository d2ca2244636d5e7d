"""Run one experiment: ``python -m benchmarks NAME --seed N``.

Progress is written to standard error; the last line of standard output is
the report as one JSON object.
"""

import argparse
import importlib
import json

EXPERIMENTS = (
    "admission",
    "claims",
    "idle",
    "membership",
    "mutants",
    "poison",
    "readers",
    "relay",
    "routing",
    "slopes",
    "stragglers",
    "weights",
)


def main() -> None:
    """Run the experiment named by the first argument and print its report."""
    parser = argparse.ArgumentParser(prog="benchmarks")
    parser.add_argument("name", choices=EXPERIMENTS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--small",
        action="store_true",
        help="use sizes that finish within seconds",
    )
    arguments = parser.parse_args()
    experiment = importlib.import_module(f"benchmarks.{arguments.name}")
    report = experiment.run(arguments.seed, arguments.small)
    print(json.dumps(report))


if __name__ == "__main__":
    main()
