"""Decisions on who leads a cell and who may send orders."""

from poplarloft.coordination.serving.leadership.failover import (
    FailoverDetector,
)
from poplarloft.coordination.serving.leadership.leader_location import (
    LeaderLocation,
)
from poplarloft.coordination.serving.leadership.order_lock import OrderLock
from poplarloft.coordination.serving.leadership.order_lock import OrderRules
from poplarloft.coordination.serving.leadership.order_lock import ReadHolder
from poplarloft.coordination.serving.leadership.order_lock import RevokeLease
from poplarloft.coordination.serving.leadership.order_lock import WriteHolder
from poplarloft.coordination.serving.leadership.witnesses import rank_witnesses

__all__ = [
    "FailoverDetector",
    "LeaderLocation",
    "OrderLock",
    "OrderRules",
    "ReadHolder",
    "RevokeLease",
    "WriteHolder",
    "rank_witnesses",
]
