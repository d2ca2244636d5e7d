"""Decisions for serving behind a platform's load balancer and store.

Covers single requests, lots of samples, weight loading, leader failover,
membership and change feeds. Nothing here does input or output.
"""

from poplarloft.coordination.serving.leadership import FailoverDetector
from poplarloft.coordination.serving.leadership import LeaderLocation
from poplarloft.coordination.serving.leadership import OrderLock
from poplarloft.coordination.serving.leadership import OrderRules
from poplarloft.coordination.serving.leadership import rank_witnesses
from poplarloft.coordination.serving.leadership import ReadHolder
from poplarloft.coordination.serving.leadership import RevokeLease
from poplarloft.coordination.serving.leadership import WriteHolder
from poplarloft.coordination.serving.membership import MEMBER_LEASE_MS
from poplarloft.coordination.serving.membership import Roster
from poplarloft.coordination.serving.membership import settling_time_ms
from poplarloft.coordination.serving.membership import Tenure
from poplarloft.coordination.serving.requests import allowed_services
from poplarloft.coordination.serving.requests import Balancer
from poplarloft.coordination.serving.requests import FIRST_PLACE
from poplarloft.coordination.serving.requests import FullUpstreams
from poplarloft.coordination.serving.requests import IssuerRanks
from poplarloft.coordination.serving.requests import KnownLimit
from poplarloft.coordination.serving.requests import LeastExpectedTime
from poplarloft.coordination.serving.requests import LimitTable
from poplarloft.coordination.serving.requests import LostRuns
from poplarloft.coordination.serving.requests import notice_recipients
from poplarloft.coordination.serving.requests import OwnTurns
from poplarloft.coordination.serving.requests import Permit
from poplarloft.coordination.serving.requests import PermitIssuer
from poplarloft.coordination.serving.requests import PermitNeed
from poplarloft.coordination.serving.requests import Place
from poplarloft.coordination.serving.requests import place_of
from poplarloft.coordination.serving.requests import rank_issuers
from poplarloft.coordination.serving.requests import rank_services
from poplarloft.coordination.serving.requests import RunVerdict
from poplarloft.coordination.serving.requests import SamplerRegistry
from poplarloft.coordination.serving.requests import spread_point
from poplarloft.coordination.serving.requests import VerdictKind
from poplarloft.coordination.serving.rollouts import CheckpointCollector
from poplarloft.coordination.serving.rollouts import CheckpointPlan
from poplarloft.coordination.serving.rollouts import DEFAULT_LOT_BYTES
from poplarloft.coordination.serving.rollouts import EngineId
from poplarloft.coordination.serving.rollouts import EngineView
from poplarloft.coordination.serving.rollouts import EventOrderError
from poplarloft.coordination.serving.rollouts import Follows
from poplarloft.coordination.serving.rollouts import held_bytes
from poplarloft.coordination.serving.rollouts import INITIAL_EVENT_INTERVAL_MS
from poplarloft.coordination.serving.rollouts import ItemOutput
from poplarloft.coordination.serving.rollouts import LoadVersion
from poplarloft.coordination.serving.rollouts import LogPosition
from poplarloft.coordination.serving.rollouts import LotBacklog
from poplarloft.coordination.serving.rollouts import LotPlan
from poplarloft.coordination.serving.rollouts import OutputTooLargeError
from poplarloft.coordination.serving.rollouts import Planner
from poplarloft.coordination.serving.rollouts import ReadBatch
from poplarloft.coordination.serving.rollouts import ResultLog
from poplarloft.coordination.serving.rollouts import split_increments
from poplarloft.coordination.serving.rollouts import Stage
from poplarloft.coordination.serving.rollouts import StartItem
from poplarloft.coordination.serving.rollouts import WeightLoadPlanner
from poplarloft.coordination.serving.rollouts import WriteBatch
from poplarloft.coordination.serving.store import AccessPathSelector
from poplarloft.coordination.serving.store import DIRECT
from poplarloft.coordination.serving.store import FeedReader
from poplarloft.coordination.serving.store import MAX_GAP_MS
from poplarloft.coordination.serving.store import PrefixHistory
from poplarloft.coordination.serving.streams import DueReport
from poplarloft.coordination.serving.streams import REPORT_DELAY_MS
from poplarloft.coordination.serving.streams import STREAM_LIFETIME_MS
from poplarloft.coordination.serving.streams import StreamReports
from poplarloft.coordination.serving.streams import StreamTable
from poplarloft.coordination.serving.streams import VersionHistory

__all__ = [
    "AccessPathSelector",
    "Balancer",
    "CheckpointCollector",
    "CheckpointPlan",
    "DEFAULT_LOT_BYTES",
    "DIRECT",
    "DueReport",
    "EngineId",
    "EngineView",
    "EventOrderError",
    "FIRST_PLACE",
    "FailoverDetector",
    "FeedReader",
    "Follows",
    "INITIAL_EVENT_INTERVAL_MS",
    "IssuerRanks",
    "ItemOutput",
    "FullUpstreams",
    "KnownLimit",
    "LeaderLocation",
    "LeastExpectedTime",
    "LimitTable",
    "LoadVersion",
    "LogPosition",
    "LostRuns",
    "LotBacklog",
    "LotPlan",
    "MAX_GAP_MS",
    "MEMBER_LEASE_MS",
    "OrderLock",
    "OrderRules",
    "OutputTooLargeError",
    "OwnTurns",
    "Permit",
    "PermitIssuer",
    "PermitNeed",
    "Place",
    "Planner",
    "PrefixHistory",
    "REPORT_DELAY_MS",
    "ReadBatch",
    "ReadHolder",
    "ResultLog",
    "RevokeLease",
    "Roster",
    "RunVerdict",
    "STREAM_LIFETIME_MS",
    "SamplerRegistry",
    "Stage",
    "StartItem",
    "StreamReports",
    "StreamTable",
    "Tenure",
    "VerdictKind",
    "VersionHistory",
    "WeightLoadPlanner",
    "WriteBatch",
    "WriteHolder",
    "allowed_services",
    "held_bytes",
    "notice_recipients",
    "place_of",
    "rank_issuers",
    "rank_services",
    "rank_witnesses",
    "settling_time_ms",
    "split_increments",
    "spread_point",
]
