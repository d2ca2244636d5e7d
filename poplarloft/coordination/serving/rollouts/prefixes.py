"""What engines may still hold of the prompts that they have read.

An engine that holds the beginning of a prompt reads less of it. The leader
knows what it has sent where, but neither what an engine has evicted since nor
what others have sent. So what it knows counts for less as it ages, it is
bounded by the engine's memory, and new weights end it.
"""

import collections
import dataclasses

from poplarloft.coordination.serving.rollouts import engine_view
from poplarloft import state

__all__ = ["PrefixMemory"]

HALF_LIFE_MS = 8_000  # after which a part is held in one of two cases
MAX_AGE_MS = 30_000
DEFAULT_MEMORY_TOKENS = 50_000
READ_TOKENS_PER_MS = 300.0
EVICTION_SHARE = 0.5  # of evicted tokens, that some prompt needs again
PartKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Held:
    """A part of a prompt that an engine has read."""

    tokens: int
    read_at_ms: int


class PrefixMemory:
    """Estimates the time that an engine takes to read a prompt.

    Parameters
    ----------
    clock : state.Clock
        Monotonic clock.
    """

    def __init__(self, clock: state.Clock) -> None:
        self.clock = clock
        self.memory_tokens: dict[str, int] = {}
        self.held: dict[
            engine_view.EngineId, collections.OrderedDict[PartKey, _Held]
        ] = {}

    def on_services(self, configuration: state.ServingConfiguration) -> None:
        """Set the memory of the engines of each service."""
        self.memory_tokens = {
            name: service.memory_tokens
            for name, service in configuration.services.items()
            if service.memory_tokens
        }

    def on_read(
        self, sampler: state.Sampler, model: str, item: state.LotItem
    ) -> None:
        """Record that an engine reads an item's prompt.

        The least recently read parts are evicted.
        """
        parts = self.held.setdefault(
            sampler.engine_id, collections.OrderedDict()
        )
        now_ms = self.clock.now_ms()
        for part in item.shared_parts:
            parts[model, part.id] = _Held(part.tokens, now_ms)
            parts.move_to_end((model, part.id))
        memory = self._memory_of(sampler)
        while len(parts) > 1 and _total_tokens(parts) > memory:
            parts.popitem(last=False)

    def on_weights(self, engine_id: engine_view.EngineId, model: str) -> None:
        """Forget what an engine held under earlier weights of a model."""
        parts = self.held.get(engine_id, collections.OrderedDict())
        for key in [key for key in parts if key[0] == model]:
            del parts[key]

    def keep_only(self, engine_ids: set[engine_view.EngineId]) -> None:
        """Forget the engines that have gone."""
        for engine_id in set(self.held) - engine_ids:
            del self.held[engine_id]

    def reading_ms(
        self, sampler: state.Sampler, model: str, item: state.LotItem
    ) -> float:
        """Return the time that reading an item's prompt is expected to take.

        It includes the time in which others will have to read again what
        makes room for it.
        """
        if not item.shared_parts:
            return 0.0
        missing = 0.0
        chance = 1.0
        parts = self._parts_of(sampler.engine_id)
        for part in item.shared_parts:
            # A part is of use only if all parts before it are held.
            chance *= self._chance(parts.get((model, part.id)))
            missing += (1 - chance) * part.tokens
        free = self._memory_of(sampler) - _total_tokens(parts)
        evicted = max(0.0, missing - free)
        return (missing + EVICTION_SHARE * evicted) / READ_TOKENS_PER_MS

    def _parts_of(
        self, engine_id: engine_view.EngineId
    ) -> collections.OrderedDict[PartKey, _Held]:
        """Return the parts that an engine may still hold."""
        parts = self.held.get(engine_id, collections.OrderedDict())
        oldest_ms = self.clock.now_ms() - MAX_AGE_MS
        while parts:
            key = next(iter(parts))
            if parts[key].read_at_ms >= oldest_ms:
                break
            del parts[key]
        return parts

    def _chance(self, held: _Held | None) -> float:
        """Return how likely a part is still held."""
        if held is None:
            return 0.0
        age_ms = self.clock.now_ms() - held.read_at_ms
        return float(0.5 ** (age_ms / HALF_LIFE_MS))

    def _memory_of(self, sampler: state.Sampler) -> int:
        return self.memory_tokens.get(sampler.service, DEFAULT_MEMORY_TOKENS)


def _total_tokens(parts: dict[PartKey, _Held]) -> int:
    return sum(held.tokens for held in parts.values())
