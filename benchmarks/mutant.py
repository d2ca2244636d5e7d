"""A deliberate fault in the code."""

import dataclasses

__all__ = ["Mutant"]


@dataclasses.dataclass(frozen=True)
class Mutant:
    """One deliberate fault: `old` becomes `new`, once, in a module.

    Parameters
    ----------
    module, tests : str
        Paths of the code and of the tests that should find the fault.
    """

    name: str
    module: str
    old: str
    new: str
    tests: str
