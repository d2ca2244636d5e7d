"""Decisions on single requests: upstreams, limits, permits, lost runs."""

from poplarloft.coordination.serving.requests.balancing import Balancer
from poplarloft.coordination.serving.requests.balancing import (
    LeastExpectedTime,
)
from poplarloft.coordination.serving.requests.full_upstreams import (
    FullUpstreams,
)
from poplarloft.coordination.serving.requests.limit_table import KnownLimit
from poplarloft.coordination.serving.requests.limit_table import LimitTable
from poplarloft.coordination.serving.requests.lost_runs import LostRuns
from poplarloft.coordination.serving.requests.lost_runs import RunVerdict
from poplarloft.coordination.serving.requests.lost_runs import VerdictKind
from poplarloft.coordination.serving.requests.own_turns import OwnTurns
from poplarloft.coordination.serving.requests.permits import FIRST_PLACE
from poplarloft.coordination.serving.requests.permits import IssuerRanks
from poplarloft.coordination.serving.requests.permits import notice_recipients
from poplarloft.coordination.serving.requests.permits import Permit
from poplarloft.coordination.serving.requests.permits import PermitIssuer
from poplarloft.coordination.serving.requests.permits import PermitNeed
from poplarloft.coordination.serving.requests.permits import Place
from poplarloft.coordination.serving.requests.permits import place_of
from poplarloft.coordination.serving.requests.permits import rank_issuers
from poplarloft.coordination.serving.requests.registry import SamplerRegistry
from poplarloft.coordination.serving.requests.service_shares import (
    allowed_services,
)
from poplarloft.coordination.serving.requests.service_shares import (
    rank_services,
)
from poplarloft.coordination.serving.requests.service_shares import (
    spread_point,
)

__all__ = [
    "Balancer",
    "FIRST_PLACE",
    "FullUpstreams",
    "IssuerRanks",
    "KnownLimit",
    "LeastExpectedTime",
    "LimitTable",
    "LostRuns",
    "OwnTurns",
    "Permit",
    "PermitIssuer",
    "PermitNeed",
    "Place",
    "RunVerdict",
    "SamplerRegistry",
    "VerdictKind",
    "allowed_services",
    "notice_recipients",
    "place_of",
    "rank_issuers",
    "rank_services",
    "spread_point",
]
