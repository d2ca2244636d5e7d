"""Decisions on lots: items, engines, weights, results, checkpoints."""

from poplarloft.coordination.serving.rollouts.checkpoints import (
    CheckpointCollector,
)
from poplarloft.coordination.serving.rollouts.checkpoints import CheckpointPlan
from poplarloft.coordination.serving.rollouts.checkpoints import (
    split_increments,
)
from poplarloft.coordination.serving.rollouts.engine_view import EngineId
from poplarloft.coordination.serving.rollouts.engine_view import EngineView
from poplarloft.coordination.serving.rollouts.engine_view import (
    INITIAL_EVENT_INTERVAL_MS,
)
from poplarloft.coordination.serving.rollouts.log_position import Follows
from poplarloft.coordination.serving.rollouts.log_position import LogPosition
from poplarloft.coordination.serving.rollouts.lot_backlog import (
    DEFAULT_LOT_BYTES,
)
from poplarloft.coordination.serving.rollouts.lot_backlog import held_bytes
from poplarloft.coordination.serving.rollouts.lot_backlog import LotBacklog
from poplarloft.coordination.serving.rollouts.lot_plan import LotPlan
from poplarloft.coordination.serving.rollouts.outputs import EventOrderError
from poplarloft.coordination.serving.rollouts.outputs import ItemOutput
from poplarloft.coordination.serving.rollouts.outputs import (
    OutputTooLargeError,
)
from poplarloft.coordination.serving.rollouts.outputs import Stage
from poplarloft.coordination.serving.rollouts.planning import Planner
from poplarloft.coordination.serving.rollouts.planning import StartItem
from poplarloft.coordination.serving.rollouts.prefixes import PrefixMemory
from poplarloft.coordination.serving.rollouts.result_log import ReadBatch
from poplarloft.coordination.serving.rollouts.result_log import ResultLog
from poplarloft.coordination.serving.rollouts.result_log import WriteBatch
from poplarloft.coordination.serving.rollouts.weight_loading import LoadVersion
from poplarloft.coordination.serving.rollouts.weight_loading import (
    WeightLoadPlanner,
)

__all__ = [
    "DEFAULT_LOT_BYTES",
    "LotBacklog",
    "held_bytes",
    "CheckpointCollector",
    "CheckpointPlan",
    "EngineId",
    "EngineView",
    "EventOrderError",
    "Follows",
    "INITIAL_EVENT_INTERVAL_MS",
    "ItemOutput",
    "LoadVersion",
    "LogPosition",
    "LotPlan",
    "OutputTooLargeError",
    "Planner",
    "PrefixMemory",
    "ReadBatch",
    "ResultLog",
    "Stage",
    "StartItem",
    "WeightLoadPlanner",
    "WriteBatch",
    "split_increments",
]
