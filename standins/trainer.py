"""Stand-in for a trainer: pulls complete steps and checks the samples."""

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
    """Counters of a trainer.

    A sample is mislabelled if a span names another version than the one
    encoded in its tokens, and stale if it exceeded the staleness bound
    on receipt.
    """

    delivered: int = 0
    duplicate: int = 0
    mislabelled: int = 0
    stale: int = 0
    steps: int = 0
    idle_ms: int = 0
    staleness_sum: int = 0


class Trainer:
    """Trains on complete steps and publishes a weight version after each.

    Parameters
    ----------
    rollout_client : client.RolloutClient
        Pulls the samples.
    staleness_bound : int
        Number of versions that a sample may lag behind.
    train_ms : int
        Duration of one training step.
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
        """Run `steps` steps, each within `timeout_ms`.

        Raises
        ------
        client.PullFailed
            If a step is not complete in time.
        """
        for _ in range(steps):
            await self.run_step(timeout_ms)
        return self.record

    async def run_step(self, timeout_ms: int) -> None:
        """Collect the samples of one step, check them and train."""
        started_ms = self.clock.now_ms()
        await self.client.collect_step(timeout_ms)
        self.record.idle_ms += self.clock.now_ms() - started_ms
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
    """Return whether the spans label all tokens with their true versions."""
    position = 0
    for span in sample.spans:
        if span.first_token != position:
            return False
        for token in sample.tokens[position : span.last_token + 1]:
            if engine.true_version(token) != span.weight_version:
                return False
        position = span.last_token + 1
    return position == len(sample.tokens)
