"""Runs one experiment: ``python -m benchmarks NAME --seed N``.

Progress goes to standard error; the last line of output is one JSON
object.
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
    "relay",
    "routing",
    "slopes",
    "stragglers",
    "weights",
)


def main() -> None:
    """Run the experiment that the first argument names."""
    parser = argparse.ArgumentParser(prog="benchmarks")
    parser.add_argument("name", choices=EXPERIMENTS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--small", action="store_true", help="sizes that end in seconds"
    )
    arguments = parser.parse_args()
    experiment = importlib.import_module(f"benchmarks.{arguments.name}")
    report = experiment.run(arguments.seed, arguments.small)
    print(json.dumps(report))


if __name__ == "__main__":
    main()
