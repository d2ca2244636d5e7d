"""A rollout service for reinforcement learning."""

from importlib import metadata

__all__ = ["__version__"]

__version__ = metadata.version("poplarloft")
