"""Deliberate faults in decisions, and whether the tests find them.

Each fault is made in a copy of the tree, where the tests of that part run.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

from benchmarks import mutant
from benchmarks import serving_mutants

__all__ = ["MUTANTS", "run"]

ROOT = pathlib.Path(__file__).parent.parent
TIMEOUT_S = 300
SMALL_COUNT = 1


def _own(
    name: str, module: str, old: str, new: str, tests: str
) -> mutant.Mutant:
    """Return a fault of the own front end's decisions."""
    folder = "poplarloft/coordination"
    return mutant.Mutant(
        name, f"{folder}/{module}.py", old, new, f"{folder}/tests/{tests}.py"
    )


MUTANTS = (
    _own(
        "claim granted on an unknown write",
        "claims",
        "if write.outcome is state.WriteOutcome.APPLIED:",
        "if write.outcome is not state.WriteOutcome.CONFLICT:",
        "test_claims",
    ),
    _own(
        "later window of the ring not noticed",
        "claims",
        "if ledger.window > ledger_id.window:",
        "if False:",
        "test_claims",
    ),
    _own(
        "late write of a given-up claim not released",
        "claims",
        "if waiting.written:",
        "if False:",
        "test_claims",
    ),
    _own(
        "another attempt's claim taken for one's own",
        "claims",
        "if held is not None and held.attempt == attempt:\n"
        "                del entry.waiting[attempt]",
        "if held is not None:\n                del entry.waiting[attempt]",
        "test_claims",
    ),
    _own(
        "no bound on receipt",
        "delivery",
        "if not is_fresh(sample, self.weight_version, self.staleness_bound):",
        "if False:",
        "test_delivery",
    ),
    _own(
        "held slots taken again",
        "delivery",
        "if position in self.held:",
        "if False:",
        "test_delivery",
    ),
    _own(
        "over-stale samples kept by the sender",
        "delivery",
        "if not is_fresh(sample, weight_version, self.staleness_bound)",
        "if False",
        "test_delivery",
    ),
    _own(
        "unknown write of the head taken as done",
        "configuration",
        "if outcome is state.WriteOutcome.APPLIED:",
        "if outcome is not state.WriteOutcome.CONFLICT:",
        "test_configuration",
    ),
    _own(
        "revision of the same height taken",
        "configuration",
        "if head.revision <= self.revision:",
        "if head.revision < self.revision:",
        "test_configuration",
    ),
    _own(
        "own mark not looked for",
        "configuration",
        "if self._has_mark(head):",
        "if False:",
        "test_configuration",
    ),
    _own(
        "uncertain version accepted as a label",
        "labels",
        "if chunk.weight_version is None:",
        "if False:",
        "test_weights",
    ),
    _own(
        "late live undoes a leaving",
        "upstreams",
        "if incarnation <= self.leaving.get(name, -1):",
        "if False:",
        "test_requests",
    ),
    _own(
        "timeout taken for a proof of not run",
        "retries",
        "        FailureKind.CONNECT_TIMEOUT,\n",
        "        FailureKind.CONNECT_TIMEOUT,\n        FailureKind.TIMEOUT,\n",
        "test_requests",
    ),
    _own(
        "weights ordered without a lease",
        "weights",
        "if self.fence is None or self.target < 0:",
        "if self.target < 0:",
        "test_weights",
    ),
)


ALL = MUTANTS + serving_mutants.MUTANTS


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return which faults the tests found; `seed` has no effect."""
    rows = []
    for fault in ALL[:SMALL_COUNT] if small else ALL:
        print(fault.name, file=sys.stderr)
        rows.append({"fault": fault.name, "found": _is_found(fault)})
    return {
        "experiment": "mutants",
        "seed": seed,
        "found": sum(row["found"] for row in rows),
        "faults": len(rows),
        "rows": rows,
    }


def _is_found(fault: mutant.Mutant) -> bool:
    """Make the fault in a copy and run the tests of its part.

    Raises
    ------
    ValueError
        If the code to change is not there once.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "copy"
        shutil.copytree(
            ROOT, copy, ignore=shutil.ignore_patterns(".git", ".venv", ".*_c*")
        )
        path = copy / fault.module
        source = path.read_text()
        if fault.old not in source:
            raise ValueError(f"{fault.name}: {fault.old!r} is not in {path}")
        path.write_text(source.replace(fault.old, fault.new, 1))
        ended = subprocess.run(
            [
                *(sys.executable, "-m", "pytest", "-x", "-q"),
                fault.tests,
            ],
            cwd=copy,
            env={"PYTHONPATH": str(copy)},
            capture_output=True,
            timeout=TIMEOUT_S,
        )
        return ended.returncode == 1
