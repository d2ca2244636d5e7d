"""Mutation testing: insert deliberate faults and run the tests.

Each fault is inserted into a copy of the source tree, in which the tests of
the changed module then run.
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


def _coordination_mutant(
    name: str, module: str, old: str, new: str, tests: str
) -> mutant.Mutant:
    """Return a mutant of a module of poplarloft/coordination."""
    folder = "poplarloft/coordination"
    return mutant.Mutant(
        name, f"{folder}/{module}.py", old, new, f"{folder}/tests/{tests}.py"
    )


MUTANTS = (
    _coordination_mutant(
        "claim granted although the outcome of the write is unknown",
        "claims",
        "if write.outcome is state.WriteOutcome.APPLIED:",
        "if write.outcome is not state.WriteOutcome.CONFLICT:",
        "test_claims",
    ),
    _coordination_mutant(
        "claims kept although the ledger has a later window",
        "claims",
        "if ledger.window > ledger_id.window:",
        "if False:",
        "test_claims",
    ),
    _coordination_mutant(
        "late write of a timed-out claim not released",
        "claims",
        "if waiting.may_be_written:",
        "if False:",
        "test_claims",
    ),
    _coordination_mutant(
        "claim of another attempt accepted as own",
        "claims",
        "if held is not None and held.attempt == attempt:\n"
        "                del entry.waiting[attempt]",
        "if held is not None:\n                del entry.waiting[attempt]",
        "test_claims",
    ),
    _coordination_mutant(
        "staleness bound not checked on receipt",
        "delivery",
        "if not is_fresh(sample, self.weight_version, self.staleness_bound):",
        "if False:",
        "test_delivery",
    ),
    _coordination_mutant(
        "sample of a filled slot accepted again",
        "delivery",
        "if position in self.held:",
        "if False:",
        "test_delivery",
    ),
    _coordination_mutant(
        "samples beyond the staleness bound kept by the sender",
        "delivery",
        "if not is_fresh(sample, weight_version, self.staleness_bound)",
        "if False",
        "test_delivery",
    ),
    _coordination_mutant(
        "head write of unknown outcome treated as applied",
        "configuration",
        "if outcome is state.WriteOutcome.APPLIED:",
        "if outcome is not state.WriteOutcome.CONFLICT:",
        "test_configuration",
    ),
    _coordination_mutant(
        "head of the same revision accepted again",
        "configuration",
        "if head.revision <= self.revision:",
        "if head.revision < self.revision:",
        "test_configuration",
    ),
    _coordination_mutant(
        "own mark in the head ignored",
        "configuration",
        "if self._has_mark(head):",
        "if False:",
        "test_configuration",
    ),
    _coordination_mutant(
        "uncertain weight version accepted as a label",
        "labels",
        "if chunk.weight_version is None:",
        "if False:",
        "test_weights",
    ),
    _coordination_mutant(
        "late live report reverts a leaving notice",
        "upstreams",
        "if incarnation <= self.leaving.get(name, -1):",
        "if False:",
        "test_requests",
    ),
    _coordination_mutant(
        "timeout accepted as proof that a request did not run",
        "retries",
        "        FailureKind.CONNECT_TIMEOUT,\n",
        "        FailureKind.CONNECT_TIMEOUT,\n        FailureKind.TIMEOUT,\n",
        "test_requests",
    ),
    _coordination_mutant(
        "weight orders sent without a lease",
        "weights",
        "if self.fence is None or self.target < 0:",
        "if self.target < 0:",
        "test_weights",
    ),
)


ALL = MUTANTS + serving_mutants.MUTANTS


def run(seed: int, small: bool) -> dict[str, typing.Any]:
    """Return which faults the tests detect; `seed` has no effect."""
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
    """Return whether the tests of `fault` fail in a copy that contains it.

    Raises
    ------
    ValueError
        If the module does not contain the code to replace.
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
