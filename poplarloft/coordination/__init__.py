"""Decisions without input or output: events in, typed actions out."""

from poplarloft.coordination.admission import AdmissionController
from poplarloft.coordination.admission import AdmissionDecision
from poplarloft.coordination.admission import AdmissionSettings
from poplarloft.coordination.admission import Admitted
from poplarloft.coordination.admission import CostEstimate
from poplarloft.coordination.admission import per_instance_limit
from poplarloft.coordination.admission import RateLimits
from poplarloft.coordination.admission import Refused
from poplarloft.coordination.claim_actions import ClaimAction
from poplarloft.coordination.claim_actions import ClaimDecided
from poplarloft.coordination.claim_actions import ClaimDecision
from poplarloft.coordination.claim_actions import ClaimSettings
from poplarloft.coordination.claim_actions import ReadLedger
from poplarloft.coordination.claim_actions import WriteLedger
from poplarloft.coordination.claims import ClaimTable
from poplarloft.coordination.claims import ledger_writer
from poplarloft.coordination.configuration import accept
from poplarloft.coordination.configuration import Change
from poplarloft.coordination.configuration import ChangeResult
from poplarloft.coordination.configuration import dispute
from poplarloft.coordination.configuration import HeadFollower
from poplarloft.coordination.configuration import HeadWriter
from poplarloft.coordination.configuration import propose
from poplarloft.coordination.configuration import put_due_in_force
from poplarloft.coordination.configuration import ReadHead
from poplarloft.coordination.configuration import withdraw
from poplarloft.coordination.configuration import WriteDone
from poplarloft.coordination.configuration import WriteHead
from poplarloft.coordination.crash_history import CrashHistory
from poplarloft.coordination.crash_history import FingerprintStatus
from poplarloft.coordination.crash_history import PLATFORM_POISON_SETTINGS
from poplarloft.coordination.crash_history import PoisonSettings
from poplarloft.coordination.delivery import is_fresh
from poplarloft.coordination.delivery import Offer
from poplarloft.coordination.delivery import SampleBuffer
from poplarloft.coordination.delivery import StepCollector
from poplarloft.coordination.dissemination import DisseminationSettings
from poplarloft.coordination.dissemination import UpdateStore
from poplarloft.coordination.gossip import MembershipAction
from poplarloft.coordination.gossip import MembershipSettings
from poplarloft.coordination.gossip import SendAck
from poplarloft.coordination.gossip import SendDigest
from poplarloft.coordination.gossip import SendPing
from poplarloft.coordination.gossip import SendPingRequest
from poplarloft.coordination.gossip import SendUpdates
from poplarloft.coordination.health import HealthSettings
from poplarloft.coordination.health import HealthTracker
from poplarloft.coordination.histograms import HistogramKey
from poplarloft.coordination.histograms import HistogramSet
from poplarloft.coordination.histograms import HistogramSummary
from poplarloft.coordination.labels import LabelFault
from poplarloft.coordination.labels import Labeller
from poplarloft.coordination.load import LoadView
from poplarloft.coordination.lots import CancelSample
from poplarloft.coordination.lots import GenerateSample
from poplarloft.coordination.lots import LotAction
from poplarloft.coordination.lots import LotPlanner
from poplarloft.coordination.lots import LotWaste
from poplarloft.coordination.lots import planned_staleness
from poplarloft.coordination.lots import ScoreSample
from poplarloft.coordination.membership import Membership
from poplarloft.coordination.poison import PoisonGuard
from poplarloft.coordination.probing import Probe
from poplarloft.coordination.probing import ProbeTable
from poplarloft.coordination.relay_queue import RelayQueues
from poplarloft.coordination.response_cache import CachedResponse
from poplarloft.coordination.response_cache import ResponseCache
from poplarloft.coordination.retries import AttemptPlan
from poplarloft.coordination.retries import Failure
from poplarloft.coordination.retries import FailureKind
from poplarloft.coordination.retries import GiveUp
from poplarloft.coordination.retries import Retry
from poplarloft.coordination.retries import RetryBudget
from poplarloft.coordination.retries import verdict_of
from poplarloft.coordination.routing import BLOCK_CHARS
from poplarloft.coordination.routing import Candidate
from poplarloft.coordination.routing import CHARS_PER_TOKEN
from poplarloft.coordination.routing import CostModel
from poplarloft.coordination.routing import LeastLoaded
from poplarloft.coordination.routing import prefix_blocks
from poplarloft.coordination.routing import RandomChoice
from poplarloft.coordination.routing import rendezvous_rank
from poplarloft.coordination.routing import RoundRobin
from poplarloft.coordination.routing import RouteRequest
from poplarloft.coordination.routing import ROUTING_POLICIES
from poplarloft.coordination.routing import RoutingPolicy
from poplarloft.coordination.routing import ScoredTwoChoices
from poplarloft.coordination.routing import Shortlist
from poplarloft.coordination.shutdown import ShutdownPhase
from poplarloft.coordination.shutdown import ShutdownPlan
from poplarloft.coordination.stragglers import NoRedispatch
from poplarloft.coordination.stragglers import RateRedispatch
from poplarloft.coordination.stragglers import RedispatchPolicy
from poplarloft.coordination.stragglers import RunningGeneration
from poplarloft.coordination.token_buckets import TokenBucket
from poplarloft.coordination.upstreams import LeavingNotice
from poplarloft.coordination.upstreams import NoticeSource
from poplarloft.coordination.upstreams import UpstreamRegistry
from poplarloft.coordination.usage import ledger_totals
from poplarloft.coordination.usage import owner_shares
from poplarloft.coordination.usage import OwnerShare
from poplarloft.coordination.usage import usage_writer
from poplarloft.coordination.usage import UsageMeter
from poplarloft.coordination.usage import UsageTotals
from poplarloft.coordination.weights import EngineReport
from poplarloft.coordination.weights import OrderKind
from poplarloft.coordination.weights import SendOrder
from poplarloft.coordination.weights import WeightRollout
from poplarloft.coordination.weights import WeightSettings

__all__ = [
    "accept",
    "AdmissionController",
    "AdmissionDecision",
    "AdmissionSettings",
    "Admitted",
    "AttemptPlan",
    "BLOCK_CHARS",
    "CachedResponse",
    "CancelSample",
    "Candidate",
    "Change",
    "ChangeResult",
    "CHARS_PER_TOKEN",
    "ClaimAction",
    "ClaimDecided",
    "ClaimDecision",
    "ClaimSettings",
    "ClaimTable",
    "CostEstimate",
    "CostModel",
    "CrashHistory",
    "dispute",
    "DisseminationSettings",
    "EngineReport",
    "Failure",
    "FailureKind",
    "FingerprintStatus",
    "GenerateSample",
    "GiveUp",
    "HeadFollower",
    "HeadWriter",
    "HealthSettings",
    "HealthTracker",
    "HistogramKey",
    "HistogramSet",
    "HistogramSummary",
    "is_fresh",
    "LabelFault",
    "Labeller",
    "LeastLoaded",
    "LeavingNotice",
    "ledger_totals",
    "ledger_writer",
    "LoadView",
    "LotAction",
    "LotPlanner",
    "LotWaste",
    "Membership",
    "MembershipAction",
    "MembershipSettings",
    "NoRedispatch",
    "NoticeSource",
    "Offer",
    "OrderKind",
    "owner_shares",
    "OwnerShare",
    "per_instance_limit",
    "planned_staleness",
    "PLATFORM_POISON_SETTINGS",
    "PoisonGuard",
    "PoisonSettings",
    "prefix_blocks",
    "Probe",
    "ProbeTable",
    "propose",
    "put_due_in_force",
    "RandomChoice",
    "RateLimits",
    "RateRedispatch",
    "ReadHead",
    "ReadLedger",
    "RedispatchPolicy",
    "Refused",
    "RelayQueues",
    "rendezvous_rank",
    "ResponseCache",
    "Retry",
    "RetryBudget",
    "RoundRobin",
    "RouteRequest",
    "ROUTING_POLICIES",
    "RoutingPolicy",
    "RunningGeneration",
    "SampleBuffer",
    "ScoredTwoChoices",
    "ScoreSample",
    "SendAck",
    "SendDigest",
    "SendOrder",
    "SendPing",
    "SendPingRequest",
    "SendUpdates",
    "Shortlist",
    "ShutdownPhase",
    "ShutdownPlan",
    "StepCollector",
    "TokenBucket",
    "UpdateStore",
    "UpstreamRegistry",
    "usage_writer",
    "UsageMeter",
    "UsageTotals",
    "verdict_of",
    "WeightRollout",
    "WeightSettings",
    "withdraw",
    "WriteDone",
    "WriteHead",
    "WriteLedger",
]
