"""What a configuration of serving says, before it is in force.

Problems of one configuration, and differences between two.
"""

from poplarloft.coordination.serving.configurations.differences import (
    Difference,
)
from poplarloft.coordination.serving.configurations.differences import (
    find_differences,
)
from poplarloft.coordination.serving.configurations.problems import (
    find_problems,
)
from poplarloft.coordination.serving.configurations.problems import Problem
from poplarloft.coordination.serving.configurations.problems import (
    ProblemKind,
)

__all__ = [
    "Difference",
    "Problem",
    "ProblemKind",
    "find_differences",
    "find_problems",
]
