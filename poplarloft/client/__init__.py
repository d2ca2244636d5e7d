"""Client for trainers: pulls samples and stores them across restarts."""

from poplarloft.client.holdings import HoldingsFile
from poplarloft.client.rollouts import PullFailed
from poplarloft.client.rollouts import RolloutClient

__all__ = ["HoldingsFile", "PullFailed", "RolloutClient"]
