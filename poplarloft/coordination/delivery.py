"""Exactly-once delivery of samples, decided at the receiver.

A pull lists the slots that the trainer has received. A sender offers
samples of other slots only, and none that exceed the staleness bound at the
version given in the pull. The trainer accepts each slot once and checks the
bound again on receipt. Delivery therefore stays correct if responses are
lost, delayed or repeated, or if there are two senders at once.
"""

import dataclasses

from poplarloft import state

__all__ = ["Offer", "SampleBuffer", "StepCollector", "is_fresh"]


def is_fresh(sample: state.Sample, weight_version: int, bound: int) -> bool:
    """Return whether a sample's oldest version is within the bound.

    Parameters
    ----------
    sample : state.Sample
        A labelled sample.
    weight_version : int
        The last version published by the trainer.
    bound : int
        Number of versions that a sample may lag behind, 0 or more.
    """
    return sample.oldest_version >= weight_version - bound


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Samples to send in response to a pull, and those dropped.

    `stale` contains the buffered samples that exceeded the staleness bound
    and were dropped.
    """

    samples: tuple[state.Sample, ...]
    stale: tuple[state.Sample, ...]


class SampleBuffer:
    """Samples waiting for delivery to the trainer, at most one per slot.

    Parameters
    ----------
    staleness_bound : int
        Number of versions that a sample may lag behind.
    """

    def __init__(self, staleness_bound: int) -> None:
        self.staleness_bound = staleness_bound
        self.samples: dict[state.Slot, state.Sample] = {}

    def put(self, sample: state.Sample) -> bool:
        """Add a sample if its slot is empty; return whether it was added."""
        if sample.slot in self.samples:
            return False
        self.samples[sample.slot] = sample
        return True

    def offer(self, holdings: state.Holdings) -> Offer:
        """Return the samples to send in response to a pull.

        Samples stay in the buffer until a later pull shows that the trainer
        has received them or has moved on to a later step.
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
    """Trainer's side of the delivery, which collects samples step by step.

    Parameters
    ----------
    lot : str
        Name of the lot.
    trainer : str
        The trainer's name and incarnation.
    groups, samples_per_group : int
        Number of groups in a step and of samples in a group.
    staleness_bound : int
        Number of versions that a sample may lag behind on receipt.
    step, weight_version : int
        Initial step and version; a restarted trainer passes those that it
        has stored.
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
        """Return the holdings to send with the next pull."""
        return state.Holdings(
            self.trainer,
            self.step,
            self.weight_version,
            frozenset(self.held),
        )

    def on_samples(
        self, samples: tuple[state.Sample, ...]
    ) -> list[state.Sample]:
        """Process the samples of a response; return those accepted."""
        return [sample for sample in samples if self._accept(sample)]

    def is_complete(self) -> bool:
        """Return whether each slot of the step has a sample."""
        return len(self.held) == self.groups * self.samples_per_group

    def finish_step(self, weight_version: int) -> list[state.Sample]:
        """Return the samples of the step and move on to the next step.

        Raises
        ------
        ValueError
            If the step is incomplete or the version decreases.
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
        """Record a newly published version, keeping samples already held.

        Raises
        ------
        ValueError
            If the version decreases.
        """
        if weight_version < self.weight_version:
            raise ValueError(
                f"weight_version {weight_version} is below "
                f"{self.weight_version}"
            )
        self.weight_version = weight_version

    def _accept(self, sample: state.Sample) -> bool:
        slot = sample.slot
        position = (slot.group, slot.index)
        if (slot.lot, slot.step) != (self.lot, self.step):
            return False
        if slot.group >= self.groups or slot.index >= self.samples_per_group:
            return False
        if position in self.held:
            return False
        if not is_fresh(sample, self.weight_version, self.staleness_bound):
            return False
        self.held[position] = sample
        return True
