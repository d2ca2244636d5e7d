"""Clients that hold an instance's resources, and which of them make room.

Clients are not trusted to stay within limits. A connection has a place, may
hold memory and may hold a channel to an upstream; each of these is bounded
for a whole listener. Where one is used up, room is made by a client that
holds it while no request of its own makes progress.
"""

from poplarloft.coordination.clients.holds import ClientHold
from poplarloft.coordination.clients.holds import Phase
from poplarloft.coordination.clients.quota import MemoryQuota
from poplarloft.coordination.clients.shares import ListenerShare
from poplarloft.coordination.clients.shares import Machine
from poplarloft.coordination.clients.shares import MachineShares
from poplarloft.coordination.clients.shares import ResourceUse
from poplarloft.coordination.clients.shares import share_machine
from poplarloft.coordination.clients.table import BodyDecision
from poplarloft.coordination.clients.table import ClientTable
from poplarloft.coordination.clients.table import PATIENCE_MS

__all__ = [
    "BodyDecision",
    "ClientHold",
    "ClientTable",
    "ListenerShare",
    "Machine",
    "MachineShares",
    "MemoryQuota",
    "PATIENCE_MS",
    "Phase",
    "ResourceUse",
    "share_machine",
]
