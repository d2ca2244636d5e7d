"""Exactly-once delivery of samples, decided at the receiver.

A pull names what the trainer holds; a sender offers only other slots, and
none that is over-stale against the version named in the pull. The trainer
takes each slot once and checks the bound again on receipt. Lost, late and
repeated answers, and two senders at once, then change nothing.
"""

import dataclasses

from poplarloft import state

__all__ = ["Offer", "SampleBuffer", "StepCollector", "is_fresh"]


def is_fresh(sample: state.Sample, weight_version: int, bound: int) -> bool:
    """Tell whether a sample's oldest version is within `bound` versions.

    Parameters
    ----------
    sample : state.Sample
        A labelled sample.
    weight_version : int
        The version that the trainer has published last.
    bound : int
        Versions that a sample may lag behind, 0 or more.
    """
    return sample.oldest_version >= weight_version - bound


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """The answer to a pull, in parts.

    `stale` names the slots whose buffered sample is over the bound and
    was dropped.
    """

    samples: tuple[state.Sample, ...]
    stale: tuple[state.Sample, ...]


class SampleBuffer:
    """Samples that wait for their trainer, at most one per slot.

    Parameters
    ----------
    staleness_bound : int
        Versions that a sample may lag behind.
    """

    def __init__(self, staleness_bound: int) -> None:
        self.staleness_bound = staleness_bound
        self.samples: dict[state.Slot, state.Sample] = {}

    def put(self, sample: state.Sample) -> bool:
        """Keep a sample unless its slot is filled; tell whether kept."""
        if sample.slot in self.samples:
            return False
        self.samples[sample.slot] = sample
        return True

    def offer(self, holdings: state.Holdings) -> Offer:
        """Return what a pull may be answered with.

        Samples stay in the buffer until a later pull shows that the
        trainer holds them or has moved on.
        """
        self._drop_held(holdings)
        stale = self._drop_stale(holdings.weight_version)
        samples = tuple(
            sample
            for slot, sample in sorted(self.samples.items())
            if slot.step == holdings.step
        )
        return Offer(samples, stale)

    def _drop_held(self, holdings: state.Holdings) -> None:
        for slot in list(self.samples):
            held = slot.step == holdings.step and (
                (slot.group, slot.index) in holdings.held
            )
            if held or slot.step < holdings.step:
                del self.samples[slot]

    def _drop_stale(self, weight_version: int) -> tuple[state.Sample, ...]:
        stale = tuple(
            sample
            for sample in self.samples.values()
            if not is_fresh(sample, weight_version, self.staleness_bound)
        )
        for sample in stale:
            del self.samples[sample.slot]
        return stale


class StepCollector:
    """The trainer's side: collects the samples of one step after another.

    Parameters
    ----------
    lot : str
        The lot that is pulled.
    trainer : str
        The trainer's name and incarnation.
    groups, samples_per_group : int
        Size of a step.
    staleness_bound : int
        Versions that a sample may lag behind on receipt.
    step, weight_version : int
        Where to start; a restarted trainer names what it has kept.
    """

    def __init__(
        self,
        lot: str,
        trainer: str,
        groups: int,
        samples_per_group: int,
        staleness_bound: int,
        step: int = 0,
        weight_version: int = 0,
    ) -> None:
        self.lot = lot
        self.trainer = trainer
        self.groups = groups
        self.samples_per_group = samples_per_group
        self.staleness_bound = staleness_bound
        self.step = step
        self.weight_version = weight_version
        self.held: dict[tuple[int, int], state.Sample] = {}

    def next_pull(self) -> state.Holdings:
        """Return what to send with the next pull."""
        return state.Holdings(
            self.trainer,
            self.step,
            self.weight_version,
            frozenset(self.held),
        )

    def on_samples(
        self, samples: tuple[state.Sample, ...]
    ) -> list[state.Sample]:
        """Take the samples of an answer; return those newly held."""
        return [sample for sample in samples if self._take(sample)]

    def is_complete(self) -> bool:
        """Tell whether each slot of the step is filled."""
        return len(self.held) == self.groups * self.samples_per_group

    def finish_step(self, weight_version: int) -> list[state.Sample]:
        """Return the step's samples and go on to the next step.

        Raises
        ------
        ValueError
            If the step is not complete or the version goes back.
        """
        if not self.is_complete():
            raise ValueError(
                f"step {self.step} holds {len(self.held)} samples, "
                f"expected {self.groups * self.samples_per_group}"
            )
        self.publish(weight_version)
        samples = [sample for _, sample in sorted(self.held.items())]
        self.held = {}
        self.step += 1
        return samples

    def publish(self, weight_version: int) -> None:
        """Note a newly published version; held samples stay held.

        Raises
        ------
        ValueError
            If the version goes back.
        """
        if weight_version < self.weight_version:
            raise ValueError(
                f"weight_version {weight_version} is below "
                f"{self.weight_version}"
            )
        self.weight_version = weight_version

    def _take(self, sample: state.Sample) -> bool:
        slot = sample.slot
        place = (slot.group, slot.index)
        if (slot.lot, slot.step) != (self.lot, self.step):
            return False
        if slot.group >= self.groups or slot.index >= self.samples_per_group:
            return False
        if place in self.held:
            return False
        if not is_fresh(sample, self.weight_version, self.staleness_bound):
            return False
        self.held[place] = sample
        return True
