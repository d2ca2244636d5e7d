"""Data classes shared by all layers, and interfaces to external services."""

from poplarloft.state.capacity import EngineOrder
from poplarloft.state.capacity import EnginePool
from poplarloft.state.capacity import EngineScaling
from poplarloft.state.claims import Claim
from poplarloft.state.claims import ClaimKey
from poplarloft.state.claims import Ledger
from poplarloft.state.claims import LedgerId
from poplarloft.state.client_accounts import Caller
from poplarloft.state.client_accounts import ClientAccount
from poplarloft.state.clock import BootClock
from poplarloft.state.clock import Clock
from poplarloft.state.clock import ManualClock
from poplarloft.state.clock import MonotonicClock
from poplarloft.state.clock import SteadyWallClock
from poplarloft.state.clock import WallClock
from poplarloft.state.configuration import Body
from poplarloft.state.configuration import Configuration
from poplarloft.state.configuration import Document
from poplarloft.state.configuration import DocumentKind
from poplarloft.state.configuration import HighWaterMark
from poplarloft.state.configuration import LotBody
from poplarloft.state.configuration import OwnerBody
from poplarloft.state.configuration import Proposal
from poplarloft.state.configuration import ProposalState
from poplarloft.state.configuration import ReleaseBody
from poplarloft.state.configuration import RouteBody
from poplarloft.state.configuration import WeightsBody
from poplarloft.state.crashes import CrashNotice
from poplarloft.state.crashes import ProbeOutcome
from poplarloft.state.feeds import FeedAnswer
from poplarloft.state.feeds import FeedPart
from poplarloft.state.feeds import FeedRequest
from poplarloft.state.feeds import PeerRecord
from poplarloft.state.gossip_updates import ClearedUpdate
from poplarloft.state.gossip_updates import CrashUpdate
from poplarloft.state.gossip_updates import GossipUpdate
from poplarloft.state.gossip_updates import HeadUpdate
from poplarloft.state.gossip_updates import LeavingUpdate
from poplarloft.state.gossip_updates import QuarantineUpdate
from poplarloft.state.gossip_updates import UsageUpdate
from poplarloft.state.identity import Address
from poplarloft.state.identity import Incarnation
from poplarloft.state.identity import Location
from poplarloft.state.key_value import ABSENT_VERSION
from poplarloft.state.key_value import Lease
from poplarloft.state.key_value import Versioned
from poplarloft.state.key_value import WriteOutcome
from poplarloft.state.key_value import WriteResult
from poplarloft.state.lots import CheckpointIncrement
from poplarloft.state.lots import ItemState
from poplarloft.state.lots import Lot
from poplarloft.state.lots import LotHead
from poplarloft.state.lots import LotItem
from poplarloft.state.lots import LotRecord
from poplarloft.state.lots import LotResult
from poplarloft.state.lots import PromptPart
from poplarloft.state.lots import ResultPage
from poplarloft.state.lots import RewardCall
from poplarloft.state.membership import MemberRecord
from poplarloft.state.membership import MemberStatus
from poplarloft.state.metering import MeterRecord
from poplarloft.state.metering import UsageNotice
from poplarloft.state.metering import UsageReceipt
from poplarloft.state.metering import WindowCounts
from poplarloft.state.peer_messages import ClaimAnswer
from poplarloft.state.peer_messages import ClaimRequest
from poplarloft.state.peer_messages import HeadAnswer
from poplarloft.state.peer_messages import HeadRequest
from poplarloft.state.ports import KeyValueStore
from poplarloft.state.ports import Metrics
from poplarloft.state.revisions import ABSENT
from poplarloft.state.revisions import Change
from poplarloft.state.revisions import Changes
from poplarloft.state.revisions import Entry
from poplarloft.state.revisions import Expectation
from poplarloft.state.revisions import Page
from poplarloft.state.revisions import Put
from poplarloft.state.revisions import RevisionStore
from poplarloft.state.revisions import StoreFailure
from poplarloft.state.revisions import StoreFailureKind
from poplarloft.state.revisions import WriteAnswer
from poplarloft.state.revisions import WriteStatus
from poplarloft.state.samplers import Sampler
from poplarloft.state.samplers import WeightsTarget
from poplarloft.state.samples import Chunk
from poplarloft.state.samples import Holdings
from poplarloft.state.samples import Sample
from poplarloft.state.samples import Slot
from poplarloft.state.samples import Span
from poplarloft.state.serving import PathRoute
from poplarloft.state.serving import RouteKind
from poplarloft.state.serving import ServiceInfo
from poplarloft.state.serving import ServingConfiguration
from poplarloft.state.serving import ServingLimits
from poplarloft.state.serving import Target
from poplarloft.state.serving_messages import ServingMessage
from poplarloft.state.standby import CheckpointBatch
from poplarloft.state.standby import Heartbeat
from poplarloft.state.standby import LeaderAnnouncement
from poplarloft.state.standby import LeaderRecord
from poplarloft.state.standby import LotAccepted
from poplarloft.state.standby import LotEnded
from poplarloft.state.standby import OrderHolder
from poplarloft.state.standby import Ping
from poplarloft.state.standby import Pong
from poplarloft.state.standby import Subscribe
from poplarloft.state.streams import StreamAnswer
from poplarloft.state.streams import StreamLookup
from poplarloft.state.streams import StreamNotice
from poplarloft.state.streams import StreamRecall
from poplarloft.state.streams import StreamReceipt
from poplarloft.state.streams import StreamRecord
from poplarloft.state.upstream import LoadReport
from poplarloft.state.upstream import Upstream
from poplarloft.state.upstream import UpstreamKind
from poplarloft.state.upstream import UpstreamStatus
from poplarloft.state.upstream_limits import LeavingNotice
from poplarloft.state.upstream_limits import LimitNotice
from poplarloft.state.upstream_limits import LimitReport
from poplarloft.state.upstream_limits import NamedLimit
from poplarloft.state.upstream_limits import PermitAnswer
from poplarloft.state.upstream_limits import PermitRequest
from poplarloft.state.upstream_limits import ResponseNote
from poplarloft.state.usage import UsageDispute
from poplarloft.state.usage import UsageEntry
from poplarloft.state.usage import UsageSegment
from poplarloft.state.usage import UsageTotal
from poplarloft.state.verdict import Reason
from poplarloft.state.verdict import Refusal
from poplarloft.state.verdict import Verdict

__all__ = [
    "ABSENT",
    "ABSENT_VERSION",
    "Address",
    "Body",
    "BootClock",
    "Caller",
    "Change",
    "Changes",
    "CheckpointBatch",
    "CheckpointIncrement",
    "Chunk",
    "Claim",
    "ClaimAnswer",
    "ClaimKey",
    "ClaimRequest",
    "ClearedUpdate",
    "ClientAccount",
    "Clock",
    "Configuration",
    "CrashNotice",
    "CrashUpdate",
    "Document",
    "DocumentKind",
    "EngineOrder",
    "EnginePool",
    "EngineScaling",
    "Entry",
    "Expectation",
    "FeedAnswer",
    "FeedPart",
    "FeedRequest",
    "GossipUpdate",
    "HeadAnswer",
    "HeadRequest",
    "HeadUpdate",
    "Heartbeat",
    "HighWaterMark",
    "Holdings",
    "Incarnation",
    "ItemState",
    "KeyValueStore",
    "LeaderAnnouncement",
    "LeaderRecord",
    "Lease",
    "LeavingNotice",
    "LeavingUpdate",
    "Ledger",
    "LedgerId",
    "LimitNotice",
    "LimitReport",
    "LoadReport",
    "Location",
    "Lot",
    "LotAccepted",
    "LotBody",
    "LotEnded",
    "LotHead",
    "LotItem",
    "LotRecord",
    "LotResult",
    "ManualClock",
    "MemberRecord",
    "MemberStatus",
    "MeterRecord",
    "Metrics",
    "MonotonicClock",
    "NamedLimit",
    "OrderHolder",
    "OwnerBody",
    "Page",
    "PathRoute",
    "PeerRecord",
    "PermitAnswer",
    "PermitRequest",
    "Ping",
    "Pong",
    "PromptPart",
    "ProbeOutcome",
    "Proposal",
    "ProposalState",
    "Put",
    "QuarantineUpdate",
    "Reason",
    "Refusal",
    "ReleaseBody",
    "ResponseNote",
    "ResultPage",
    "RevisionStore",
    "RewardCall",
    "RouteBody",
    "RouteKind",
    "Sample",
    "Sampler",
    "ServiceInfo",
    "ServingConfiguration",
    "ServingLimits",
    "ServingMessage",
    "Slot",
    "Span",
    "SteadyWallClock",
    "StoreFailure",
    "StoreFailureKind",
    "StreamAnswer",
    "StreamLookup",
    "StreamNotice",
    "StreamRecall",
    "StreamReceipt",
    "StreamRecord",
    "Subscribe",
    "Target",
    "Upstream",
    "UpstreamKind",
    "UpstreamStatus",
    "UsageDispute",
    "UsageEntry",
    "UsageNotice",
    "UsageReceipt",
    "UsageSegment",
    "UsageTotal",
    "UsageUpdate",
    "Verdict",
    "Versioned",
    "WallClock",
    "WeightsBody",
    "WeightsTarget",
    "WindowCounts",
    "WriteAnswer",
    "WriteOutcome",
    "WriteResult",
    "WriteStatus",
]
