"""Which software version began the streams of clients.

A stream is identified by a digest of its client's account, the host and the
identifier of the attempt that brought its first event.
"""

import dataclasses

from poplarloft.state import identity

__all__ = [
    "StreamAnswer",
    "StreamLookup",
    "StreamNotice",
    "StreamRecall",
    "StreamReceipt",
    "StreamRecord",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """A stream, and the service and software version that began it.

    The version is empty if it is not known.
    """

    key: str
    service: str
    software_version: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamNotice:
    """Streams that have begun, sent to the instances that remember them.

    Parameters
    ----------
    records : tuple of StreamRecord
        The streams.
    ticket : int
        Identifies the notice among those of its sender; 0 if its sender
        wants no receipt.
    address : identity.Address or None
        Address to which the receipt is sent.
    """

    records: tuple[StreamRecord, ...]
    ticket: int = 0
    address: identity.Address | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecall:
    """Request of an instance that has started to be told streams again.

    Parameters
    ----------
    name : str
        Name of the instance.
    address : identity.Address
        Address at which it gets messages now.
    """

    name: str
    address: identity.Address


@dataclasses.dataclass(frozen=True, slots=True)
class StreamReceipt:
    """Confirmation that the store has all records of a notice."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class StreamLookup:
    """Question which version began a stream.

    Parameters
    ----------
    ticket : int
        Identifies the question among those of its sender.
    address : identity.Address
        Address to which the answer is sent.
    key : str
        The stream.
    services : tuple of str
        The services whose upstreams may have begun it.
    """

    ticket: int
    address: identity.Address
    key: str
    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamAnswer:
    """Answer to a `StreamLookup`, of which it repeats the ticket.

    Parameters
    ----------
    record : StreamRecord
        What is known of the stream.
    only : StreamRecord
        The only service and version at which any stream of the services
        can have begun, without a version if there may be several.
    """

    ticket: int
    record: StreamRecord
    only: StreamRecord
