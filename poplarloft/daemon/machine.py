"""The figures of the machine, and what clients may take of it."""

import typing

from poplarloft.coordination import clients
from poplarloft.transport import process_limits
from poplarloft.transport import process_memory

__all__ = ["MachineSettings", "limit_process", "machine_shares"]


class MachineSettings(typing.Protocol):
    """Settings that describe the machine, None where unknown."""

    @property
    def memory_mb(self) -> int | None:
        """Memory that the process may use, in MB."""

    @property
    def max_descriptors(self) -> int | None:
        """Number of descriptors that the process stays below."""


def machine_shares(settings: MachineSettings) -> clients.MachineShares:
    """Return what clients may take of the machine of this process."""
    return clients.share_machine(
        clients.Machine(
            settings.memory_mb,
            settings.max_descriptors,
            process_memory.resident_bytes(),
        )
    )


def limit_process(settings: MachineSettings) -> None:
    """Let the system enforce what the settings say."""
    if settings.max_descriptors is not None:
        process_limits.limit_descriptors(settings.max_descriptors)
