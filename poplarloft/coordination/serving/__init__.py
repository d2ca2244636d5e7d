"""Decisions for serving behind a platform's balancer and store.

Requests, lots of samples and weights, without input or output.
"""

from poplarloft.coordination.serving.balancing import Balancer
from poplarloft.coordination.serving.balancing import ExpectedTime
from poplarloft.coordination.serving.copies import CopyPlan
from poplarloft.coordination.serving.copies import Inheritance
from poplarloft.coordination.serving.feeds import FeedReader
from poplarloft.coordination.serving.logbook import AdoptBatch
from poplarloft.coordination.serving.logbook import Logbook
from poplarloft.coordination.serving.logbook import WriteBatch
from poplarloft.coordination.serving.orders import LoadPlanner
from poplarloft.coordination.serving.orders import LoadVersion
from poplarloft.coordination.serving.paths import DIRECT
from poplarloft.coordination.serving.paths import PathChoice
from poplarloft.coordination.serving.planning import EngineView
from poplarloft.coordination.serving.planning import LotPlan
from poplarloft.coordination.serving.planning import Planner
from poplarloft.coordination.serving.planning import StartItem
from poplarloft.coordination.serving.prefix_book import PrefixBook
from poplarloft.coordination.serving.registry import SamplerRegistry
from poplarloft.coordination.serving.succession import Succession
from poplarloft.coordination.serving.texts import BrokenOrder
from poplarloft.coordination.serving.texts import ItemText
from poplarloft.coordination.serving.texts import Stage
from poplarloft.coordination.serving.whereabouts import Whereabouts

__all__ = [
    "AdoptBatch",
    "Balancer",
    "BrokenOrder",
    "CopyPlan",
    "DIRECT",
    "EngineView",
    "ExpectedTime",
    "FeedReader",
    "Inheritance",
    "ItemText",
    "LoadPlanner",
    "LoadVersion",
    "Logbook",
    "LotPlan",
    "PathChoice",
    "Planner",
    "PrefixBook",
    "SamplerRegistry",
    "Stage",
    "StartItem",
    "Succession",
    "Whereabouts",
    "WriteBatch",
]
