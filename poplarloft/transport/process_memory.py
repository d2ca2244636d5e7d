"""Memory of this process, as the system reports it."""

import pathlib
import resource

__all__ = ["resident_bytes"]

STATM = pathlib.Path("/proc/self/statm")


def resident_bytes() -> int | None:
    """Return the size of the resident set, None if it can't be read."""
    try:
        pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * resource.getpagesize() or None
