"""Limits that the system enforces on this process."""

import resource

__all__ = ["limit_descriptors"]


def limit_descriptors(bound: int) -> None:
    """Let this process have fewer than `bound` descriptors open.

    Opening another one fails then, also in libraries with threads of their
    own, which take connections before the event loop learns of them. A lower
    limit that is in force already stays.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = min(
        limit
        for limit in (soft, hard, bound - 1)
        if limit != resource.RLIM_INFINITY
    )
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
