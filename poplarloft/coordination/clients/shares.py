"""Shares of a machine's memory and descriptors for what clients cause."""

import dataclasses

__all__ = [
    "ListenerShare",
    "Machine",
    "MachineShares",
    "ResourceUse",
    "share_machine",
]

BYTES_PER_MB = 1_000_000
MIB = 1_048_576
DEFAULT_BASE_BYTES = 60 * BYTES_PER_MB  # where it can't be measured
# At least so much of the memory counts as free, however large the base is.
MIN_FREE_SHARE = 0.1
# Of the free memory. The rest is for what the instance itself comes to
# hold, and for memory that can't be given back at once.
CONNECTION_MEMORY = 0.12
REQUEST_MEMORY = 0.25
LOT_MEMORY = 0.1
OPEN_LOT_MEMORY = 0.4  # of a bulk daemon, which serves no clients
RELAY_MEMORY = 0.06
CONTROL_MEMORY = 0.01
# Of the memory for a listener's connections: as much again in the kernel.
KERNEL_SHARE = 0.5
MIN_RECEIVE_BYTES = 32_768
MAX_RECEIVE_BYTES = 131_072
PEER_KERNEL_MEMORY = 0.1
KERNEL_FACTOR = 2  # the kernel allows twice what it is asked for
MIN_BACKLOG = 512
MAX_BACKLOG = 1_024
CONTROL_BACKLOG = 128
CONNECTION_BYTES = 25_000  # of a connection that holds nothing
# Descriptors of files, listeners, the store, and calls of its own.
RESERVED_SHARE = 0.2
MIN_RESERVED = 60
# Of the other descriptors.
REQUEST_DESCRIPTORS = 0.45
CHANNEL_DESCRIPTORS = 0.25
PEER_DESCRIPTORS = 0.2
RELAY_DESCRIPTORS = 0.05
CONTROL_DESCRIPTORS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """The figures of a machine, None where they are not known.

    Parameters
    ----------
    memory_mb : int or None
        Memory of the process, in MB.
    max_descriptors : int or None
        Number of descriptors that the process may open.
    base_bytes : int or None
        Memory that the process uses before it has served anybody.
    """

    memory_mb: int | None = None
    max_descriptors: int | None = None
    base_bytes: int | None = None

    @property
    def free_bytes(self) -> int | None:
        """Memory beside what the process uses itself."""
        if self.memory_mb is None:
            return None
        memory_bytes = self.memory_mb * BYTES_PER_MB
        base_bytes = self.base_bytes or DEFAULT_BASE_BYTES
        least_bytes = int(MIN_FREE_SHARE * memory_bytes)
        return max(least_bytes, memory_bytes - base_bytes)

    @property
    def free_descriptors(self) -> int | None:
        """Descriptors beside those that the process needs itself."""
        if self.max_descriptors is None:
            return None
        reserved = max(
            MIN_RESERVED, int(RESERVED_SHARE * self.max_descriptors)
        )
        return max(1, self.max_descriptors - reserved)


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerShare:
    """What the clients of one listener may take.

    Parameters
    ----------
    max_connections : int
        Number of connections.
    max_bytes : int
        Memory held for all connections, beside what each costs idle.
    backlog : int
        Number of connections that may wait to be accepted.
    receive_bytes : int
        What the kernel holds at most of what a client has sent, and the
        process has not read.
    """

    max_connections: int
    max_bytes: int
    backlog: int = MAX_BACKLOG
    receive_bytes: int = MAX_RECEIVE_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class MachineShares:
    """What all clients of an instance may take.

    Parameters
    ----------
    requests, relay, control : ListenerShare
        Of the listeners for requests, for other instances, and for
        readiness and metrics each.
    lot_bytes : int
        Memory for lots that are being taken in, and for what was read of
        their results, each.
    open_lot_bytes : int
        Memory of a bulk daemon for lots that are run.
    max_channels : int or None
        Number of connections to upstreams; None for no bound.
    max_peers : int
        Number of connections that other instances make for messages.
    peer_receive_bytes : int or None
        Receive buffer of each of these; None for the kernel's own choice.
    """

    requests: ListenerShare = ListenerShare(4_000, 256 * MIB)
    relay: ListenerShare = ListenerShare(1_000, 64 * MIB, CONTROL_BACKLOG)
    control: ListenerShare = ListenerShare(100, 16 * MIB, CONTROL_BACKLOG)
    lot_bytes: int = 256 * MIB
    open_lot_bytes: int = 256 * MIB
    max_channels: int | None = None
    max_peers: int = 2_000
    peer_receive_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceUse:
    """How much of a resource clients take, and may take."""

    resource: str
    used: float
    bound: float


def share_machine(machine: Machine) -> MachineShares:
    """Return the shares of a machine, the defaults where it has no figure.

    No share is larger than the default.
    """
    most = MachineShares()
    channels = None
    peers = most.max_peers
    if machine.free_descriptors is not None:
        channels = max(1, int(CHANNEL_DESCRIPTORS * machine.free_descriptors))
        share = int(PEER_DESCRIPTORS * machine.free_descriptors)
        peers = max(1, min(peers, share))
    lot_bytes = most.lot_bytes
    open_lot_bytes = most.open_lot_bytes
    receive_bytes = most.peer_receive_bytes
    if machine.free_bytes is not None:
        free_bytes = machine.free_bytes
        lot_bytes = min(lot_bytes, int(LOT_MEMORY * free_bytes))
        share = int(OPEN_LOT_MEMORY * free_bytes)
        open_lot_bytes = min(open_lot_bytes, share)
        kernel_bytes = int(PEER_KERNEL_MEMORY * free_bytes)
        receive_bytes = max(
            MIN_RECEIVE_BYTES,
            min(MAX_RECEIVE_BYTES, kernel_bytes // (KERNEL_FACTOR * peers)),
        )
    return MachineShares(
        _share(machine, most.requests, REQUEST_DESCRIPTORS, REQUEST_MEMORY),
        _share(machine, most.relay, RELAY_DESCRIPTORS, RELAY_MEMORY),
        _share(machine, most.control, CONTROL_DESCRIPTORS, CONTROL_MEMORY),
        lot_bytes,
        open_lot_bytes,
        channels,
        peers,
        receive_bytes,
    )


def _share(
    machine: Machine,
    most: ListenerShare,
    of_descriptors: float,
    of_memory: float,
) -> ListenerShare:
    connections = [most.max_connections]
    held_bytes = most.max_bytes
    if machine.free_bytes is not None:
        held_bytes = min(held_bytes, int(of_memory * machine.free_bytes))
        connection_bytes = CONNECTION_MEMORY * machine.free_bytes
        connections.append(int(connection_bytes / CONNECTION_BYTES))
    if machine.free_descriptors is not None:
        connections.append(int(of_descriptors * machine.free_descriptors))
    places = max(1, min(connections))
    # The process knows nothing of those that wait to be accepted.
    backlog = min(most.backlog, max(MIN_BACKLOG, places))
    receive_bytes = most.receive_bytes
    if machine.free_bytes is not None:
        kernel_bytes = KERNEL_SHARE * of_memory * machine.free_bytes
        share = int(kernel_bytes / (places + backlog))
        receive_bytes = max(MIN_RECEIVE_BYTES, min(receive_bytes, share))
    return ListenerShare(places, held_bytes, backlog, receive_bytes)
