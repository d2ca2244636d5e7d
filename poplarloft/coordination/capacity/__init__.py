"""Decisions on capacity: how many engines of each kind, and where.

Demand is learned from the steps of trainers; engines are ordered by data
centre and kind so that one that is reclaimed leaves enough.
"""

from poplarloft.coordination.capacity.demand import DemandMeter
from poplarloft.coordination.capacity.demand import Step
from poplarloft.coordination.capacity.engine_mix import cheapest_mix
from poplarloft.coordination.capacity.engine_mix import EngineMix
from poplarloft.coordination.capacity.ordering import CapacityPlanner
from poplarloft.coordination.capacity.ordering import OrderOutcome
from poplarloft.coordination.capacity.ordering import PoolState

__all__ = [
    "CapacityPlanner",
    "DemandMeter",
    "EngineMix",
    "OrderOutcome",
    "PoolState",
    "Step",
    "cheapest_mix",
]
