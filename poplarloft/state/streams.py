"""Which software version began the streams of clients.

A stream is identified by a digest of its client's account, the host and the
identifier of the attempt that brought its first event.
"""

import dataclasses

from poplarloft.state import identity

__all__ = ["StreamAnswer", "StreamLookup", "StreamNotice", "StreamRecord"]


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
    """Streams that have begun, sent to the instances that remember them."""

    records: tuple[StreamRecord, ...]


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
