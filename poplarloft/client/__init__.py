"""A trainer's client: pulls samples, keeps holdings, survives restarts."""

from poplarloft.client.holdings import HoldingsFile
from poplarloft.client.rollouts import PullFailed
from poplarloft.client.rollouts import RolloutClient

__all__ = ["HoldingsFile", "PullFailed", "RolloutClient"]
