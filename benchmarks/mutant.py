"""Source mutant for mutation testing."""

import dataclasses

__all__ = ["Mutant"]


@dataclasses.dataclass(frozen=True)
class Mutant:
    """Deliberate fault that replaces `old` by `new` once in a module.

    Parameters
    ----------
    module, tests : str
        Paths of the module and of the tests that should detect the fault.
    """

    name: str
    module: str
    old: str
    new: str
    tests: str
