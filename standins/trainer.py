"""Stand-in of a trainer: pulls whole steps, checks and counts them."""

import asyncio
from collections import abc
import dataclasses

from poplarloft import client
from poplarloft import state
from standins import engine

__all__ = ["Trainer", "TrainerRecord"]

MS_PER_S = 1_000


@dataclasses.dataclass
class TrainerRecord:
    """What the trainer counted.

    A sample is mislabelled if a span names another version than the one
    stamped into its tokens, and stale if it was over the bound on
    receipt.
    """

    delivered: int = 0
    duplicate: int = 0
    mislabelled: int = 0
    stale: int = 0
    steps: int = 0
    idle_ms: int = 0
    staleness_sum: int = 0


class Trainer:
    """Trains on whole steps and publishes a version after each.

    Parameters
    ----------
    rollout_client : client.RolloutClient
        Pulls the samples.
    staleness_bound : int
        Versions that a sample may lag behind.
    train_ms : int
        Time of one training step.
    publish : callable
        Called with each new weight version.
    """

    def __init__(
        self,
        rollout_client: client.RolloutClient,
        staleness_bound: int,
        train_ms: int,
        publish: abc.Callable[[int], None] = lambda version: None,
    ) -> None:
        self.client = rollout_client
        self.staleness_bound = staleness_bound
        self.train_ms = train_ms
        self.publish = publish
        self.clock = state.MonotonicClock()
        self.record = TrainerRecord()
        self.seen: set[state.Slot] = set()

    async def run(self, steps: int, timeout_ms: int) -> TrainerRecord:
        """Run whole steps; raises `client.PullFailed` on a late one."""
        for _ in range(steps):
            await self.run_step(timeout_ms)
        return self.record

    async def run_step(self, timeout_ms: int) -> None:
        """Wait for one step's samples, check them and train."""
        begun_ms = self.clock.now_ms()
        await self.client.collect_step(timeout_ms)
        self.record.idle_ms += self.clock.now_ms() - begun_ms
        version = self.client.collector.weight_version
        for sample in self.client.finish_step(version):
            self._check(sample, version)
        await asyncio.sleep(self.train_ms / MS_PER_S)
        self.client.collector.publish(version + 1)
        self.publish(version + 1)
        self.record.steps += 1

    def _check(self, sample: state.Sample, version: int) -> None:
        record = self.record
        if sample.slot in self.seen:
            record.duplicate += 1
        self.seen.add(sample.slot)
        record.delivered += 1
        record.mislabelled += not has_correct_spans(sample)
        oldest = min(engine.true_version(t) for t in sample.tokens)
        record.staleness_sum += version - oldest
        record.stale += oldest < version - self.staleness_bound


def has_correct_spans(sample: state.Sample) -> bool:
    """Tell whether the spans cover all tokens with their true versions."""
    position = 0
    for span in sample.spans:
        if span.first_token != position:
            return False
        for token in sample.tokens[position : span.last_token + 1]:
            if engine.true_version(token) != span.weight_version:
                return False
        position = span.last_token + 1
    return position == len(sample.tokens)
