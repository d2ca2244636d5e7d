"""Counts of the requests that client accounts have begun, by window.

A window is a fixed span of Unix time; window k begins at k times its length.
"""

import dataclasses

from poplarloft.state import identity

__all__ = ["MeterRecord", "UsageNotice", "UsageReceipt", "WindowCounts"]


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """The requests that began in one window, by account."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageNotice:
    """What an instance has counted, sent to the leader.

    Parameters
    ----------
    name : str
        Name of the instance.
    started_at_ms : int
        Unix time at which this incarnation of it started.
    ticket : int
        Identifies the notice among those of its sender.
    address : identity.Address
        Address to which the receipt is sent.
    windows : tuple of WindowCounts
        All that this incarnation has counted in these windows.
    """

    name: str
    started_at_ms: int
    ticket: int
    address: identity.Address
    windows: tuple[WindowCounts, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReceipt:
    """Confirms that the leader with a fencing token has got a notice."""

    ticket: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class MeterRecord:
    """The counts of a window, as they are recorded once and for all.

    Parameters
    ----------
    window : int
        The window.
    counts : dict of str to int
        The requests that began in it, by account.
    reported : tuple of int
        Earlier windows that are known to have been reported.
    """

    window: int
    counts: dict[str, int]
    reported: tuple[int, ...] = ()
