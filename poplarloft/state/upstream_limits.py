"""What upstreams say in responses: their limits, and that they leave.

A limit is a rate that holds for the requests of all instances together. An
issuer is an instance that hands out permits for the requests to an upstream.
"""

import dataclasses

from poplarloft.state import identity

__all__ = [
    "LeavingNotice",
    "LimitNotice",
    "LimitReport",
    "NamedLimit",
    "PermitAnswer",
    "PermitRequest",
    "ResponseNote",
]


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """What one response of an upstream says about its limit.

    Parameters
    ----------
    rate_per_s : float or None
        Requests per second, finite and not negative; None if the response
        names no limit.
    error : str
        Why the value cannot be used, which then says nothing about the
        limit; empty if it is valid or absent.
    """

    rate_per_s: float | None
    error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseNote:
    """What one response of an upstream says of the upstream.

    Parameters
    ----------
    request_id : str
        Identifier of the request, empty if the response repeats none.
    limit : NamedLimit
        The limit that it names, if any.
    is_leaving : bool
        Whether it says that the upstream leaves.
    leaving_error : str
        Why it cannot be told whether it says so; empty if it can.
    """

    request_id: str
    limit: NamedLimit
    is_leaving: bool = False
    leaving_error: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNotice:
    """News that one run of an upstream leaves, sent to other instances.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    born_ms : int
        Unix time at which that run of it started.
    heard_by : str
        Name of the instance that got the response that said so.
    """

    upstream: str
    born_ms: int
    heard_by: str

    @property
    def engine_id(self) -> tuple[str, int]:
        """Name and start time, which identify one run of the upstream."""
        return self.upstream, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """An instance's knowledge of the limit of one run of an upstream.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    born_ms : int
        Unix time at which that run of it started.
    rate_per_s : float or None
        Requests per second of all instances; None if the upstream has
        stopped naming a limit.
    age_ms : int
        Time since the response that told it arrived.
    heard_by : str
        Name of the instance that got that response.
    """

    upstream: str
    born_ms: int
    rate_per_s: float | None
    age_ms: int
    heard_by: str

    @property
    def engine_id(self) -> tuple[str, int]:
        """Name and start time, which identify one run of the upstream."""
        return self.upstream, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNotice:
    """Limits that have changed, sent to other instances."""

    reports: tuple[LimitReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request to an issuer for a permit to send one request.

    Parameters
    ----------
    ticket : int
        Identifies the request among those of its sender.
    address : identity.Address
        Address to which the answer is sent.
    report : LimitReport
        The limit as the sender knows it.
    is_deputy : bool
        Whether the issuer is asked because an earlier one does not answer.
        It decides by its own place all the same.
    priority : int
        Scheduling priority; 0 is the most urgent.
    max_wait_ms : int
        Time after which a permit is of no use.
    """

    ticket: int
    address: identity.Address
    report: LimitReport
    is_deputy: bool
    priority: int
    max_wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PermitAnswer:
    """Answer to a `PermitRequest`, of which it repeats the ticket.

    Parameters
    ----------
    is_granted : bool
        Whether one request may be sent, after `wait_ms`.
    wait_ms : int
        Time until the request may be sent, or, if it may not, until asking
        again is worthwhile.
    report : LimitReport
        The limit as the issuer knows it.
    is_issuer : bool
        Whether the instance takes itself for an issuer of the upstream. If
        not, another one is to be asked.
    """

    ticket: int
    is_granted: bool
    wait_ms: int
    report: LimitReport
    is_issuer: bool = True
