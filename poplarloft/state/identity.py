"""Identities of processes, their addresses and locations."""

import dataclasses

__all__ = ["Address", "Incarnation", "Location"]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Incarnation:
    """One run of a process: its name and a number that grows per start.

    Parameters
    ----------
    name : str
        The name that the process keeps across restarts.
    number : int
        The start time in milliseconds since the Unix epoch.
    """

    name: str
    number: int

    def __str__(self) -> str:
        return f"{self.name}#{self.number}"


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Location:
    """Where an instance runs: region and data centre."""

    region: str
    data_centre: str
