"""Decisions on access to the store, and on changes of it that peers report."""

from poplarloft.coordination.serving.store.access_paths import (
    AccessPathSelector,
)
from poplarloft.coordination.serving.store.access_paths import DIRECT
from poplarloft.coordination.serving.store.feeds import FeedReader
from poplarloft.coordination.serving.store.prefix_history import MAX_GAP_MS
from poplarloft.coordination.serving.store.prefix_history import PrefixHistory

__all__ = [
    "AccessPathSelector",
    "DIRECT",
    "FeedReader",
    "MAX_GAP_MS",
    "PrefixHistory",
]
