"""Choice of an upstream for one request.

The scored policy adds up, in milliseconds of engine time, the predicted
wait, the prefill that isn't cached and the price of the distance. Load
reports lag, so an instance adds its own dispatches since each report.
"""

from collections import abc
import dataclasses
import random
import typing

import xxhash


__all__ = [
    "BLOCK_CHARS",
    "CHARS_PER_TOKEN",
    "Candidate",
    "CostModel",
    "LeastLoaded",
    "RandomChoice",
    "RoundRobin",
    "RouteRequest",
    "ROUTING_POLICIES",
    "RoutingPolicy",
    "ScoredTwoChoices",
    "Shortlist",
    "prefix_blocks",
    "rendezvous_rank",
]

BLOCK_CHARS = 64
CHARS_PER_TOKEN = 4
OWNERS_SHORTLISTED = 4
MAX_RANKED_PREFIXES = 10_000


def prefix_blocks(prompt: str, block_chars: int = BLOCK_CHARS) -> list[int]:
    """Return a chained hash per whole block of the prompt's start.

    Two prompts share their first n values exactly if their first
    n x `block_chars` characters agree.
    """
    hashes: list[int] = []
    previous = 0
    whole = len(prompt) - len(prompt) % block_chars
    for start in range(0, whole, block_chars):
        block = prompt[start : start + block_chars]
        previous = xxhash.xxh64_intdigest(block.encode(), seed=previous)
        hashes.append(previous)
    return hashes


def rendezvous_rank(key: str | bytes, names: abc.Iterable[str]) -> list[str]:
    """Return `names` by falling rendezvous weight for `key`.

    Notes
    -----
    Highest random weight hashing (Thaler and Ravishankar, 1998): removing
    a name moves only the keys that it held.
    """
    key_bytes = key.encode() if isinstance(key, str) else key
    seed = xxhash.xxh64_intdigest(key_bytes)
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh64_intdigest(name.encode(), seed=seed),
            name,
        ),
        reverse=True,
    )


class Shortlist:
    """Names a few upstreams that are worth scoring, of any number.

    Ranking all owners of a prefix takes time in proportion to the
    upstreams, so ranks are kept until the set of upstreams changes.

    Parameters
    ----------
    rng : random.Random
        Draws the names beside the prefix's owners.
    length : int
        Names in a list; up to that many all are named.
    """

    def __init__(self, rng: random.Random, length: int = 16) -> None:
        self.rng = rng
        self.length = length
        self.names: tuple[str, ...] = ()
        self.owners: dict[int, list[str]] = {}

    def choose(
        self, request: "RouteRequest", names: tuple[str, ...]
    ) -> abc.Sequence[str]:
        """Return the prefix's first owners and others at random."""
        if len(names) <= self.length:
            return names
        if names != self.names or len(self.owners) > MAX_RANKED_PREFIXES:
            self.names = names
            self.owners = {}
        drawn = self.rng.sample(names, self.length - OWNERS_SHORTLISTED)
        if not request.prefix:
            return drawn
        first_block = request.prefix[0]
        if first_block not in self.owners:
            ranked = rendezvous_rank(str(first_block), names)
            self.owners[first_block] = ranked[:OWNERS_SHORTLISTED]
        return list(dict.fromkeys([*self.owners[first_block], *drawn]))


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing needs to know of a request."""

    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    expected_tokens: int = 64

    @classmethod
    def of_prompt(
        cls, prompt: str, expected_tokens: int = 64
    ) -> "RouteRequest":
        """Return the request of a prompt; its tokens are estimated."""
        return cls(
            tuple(prefix_blocks(prompt)),
            len(prompt) // CHARS_PER_TOKEN,
            expected_tokens,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An eligible upstream and what is believed of it.

    Parameters
    ----------
    name : str
        The upstream.
    queued_tokens : float
        Tokens that it still has to produce, own dispatches included.
    distance_cost_ms : float
        Price of the distance, in milliseconds of engine time.
    cached : frozenset of int
        Prefix blocks that it surely or likely holds.
    """

    name: str
    queued_tokens: float = 0.0
    distance_cost_ms: float = 0.0
    cached: frozenset[int] = frozenset()


class RoutingPolicy(typing.Protocol):
    """Chooses one candidate; none is ruled out by the policy itself."""

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return one of `candidates`, which is not empty."""


class RandomChoice:
    """Baseline: any candidate, evenly."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return a random candidate."""
        return self.rng.choice(candidates)


class RoundRobin:
    """Baseline: one candidate after the other."""

    def __init__(self, rng: random.Random) -> None:
        self.turn = rng.randrange(1 << 16)

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return the next candidate in order of name."""
        self.turn += 1
        ordered = sorted(candidates, key=lambda c: c.name)
        return ordered[self.turn % len(ordered)]


class LeastLoaded:
    """Baseline: the smallest believed queue, whatever is cached."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return a candidate with the fewest queued tokens."""
        least = min(c.queued_tokens for c in candidates)
        ties = [c for c in candidates if c.queued_tokens == least]
        return self.rng.choice(ties)


@dataclasses.dataclass(frozen=True, slots=True)
class CostModel:
    """What a token costs, in milliseconds of engine time.

    Parameters
    ----------
    decode_ms, prefill_ms : float
        Time per token produced and per prompt token read.
    batch_tokens : float
        Tokens owed that an engine works on at once, without a queue.
    load_factor : float
        The prefix's owner is passed over once its queue is this many
        times the mean (bounded load).
    block_tokens : int
        Tokens per prefix block.
    """

    decode_ms: float = 0.5
    prefill_ms: float = 0.2
    batch_tokens: float = 256.0
    load_factor: float = 2.5
    block_tokens: int = 16


class ScoredTwoChoices:
    """Lowest score of the prefix's owner, the warmest, and two others.

    Parameters
    ----------
    rng : random.Random
        Draws the two choices.
    costs : CostModel
        Weights of the score.
    """

    def __init__(
        self, rng: random.Random, costs: CostModel | None = None
    ) -> None:
        self.rng = rng
        self.costs = costs or CostModel()

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return the best of a few candidates by score."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        if request.prefix:
            drawn += self._warm(request, candidates)
        return min(drawn, key=lambda c: self.score(request, c))

    def score(self, request: RouteRequest, candidate: Candidate) -> float:
        """Return predicted milliseconds to the first token, plus price."""
        waiting = candidate.queued_tokens - self.costs.batch_tokens
        wait_ms = max(0.0, waiting) * self.costs.decode_ms
        cached = self._cached_blocks(request, candidate)
        cached_tokens = cached * self.costs.block_tokens
        missing = max(0, request.prompt_tokens - cached_tokens)
        prefill_ms = missing * self.costs.prefill_ms
        return wait_ms + prefill_ms + candidate.distance_cost_ms

    def _cached_blocks(
        self, request: RouteRequest, candidate: Candidate
    ) -> int:
        count = 0
        for block in request.prefix:
            if block not in candidate.cached:
                break
            count += 1
        return count

    def _warm(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> list[Candidate]:
        """Return the prefix's rendezvous owner and the warmest holder.

        All instances of a place agree on the owner without exchanging
        anything, so a prefix gathers on one near upstream before any
        cache event arrives.
        """
        least_cost_ms = min(c.distance_cost_ms for c in candidates)
        near = {
            c.name: c
            for c in candidates
            if c.distance_cost_ms == least_cost_ms
        }
        mean = sum(c.queued_tokens for c in near.values()) / len(near)
        limit = self.costs.load_factor * mean + request.expected_tokens
        limit = max(limit, self.costs.batch_tokens)
        warm = []
        for name in rendezvous_rank(str(request.prefix[0]), near):
            if near[name].queued_tokens <= limit:
                warm.append(near[name])
                break
        holder = max(candidates, key=lambda c: self._cached_blocks(request, c))
        if self._cached_blocks(request, holder):
            warm.append(holder)
        return warm


ROUTING_POLICIES: dict[str, abc.Callable[[random.Random], RoutingPolicy]] = {
    "scored": ScoredTwoChoices,
    "least-loaded": LeastLoaded,
    "round-robin": RoundRobin,
    "random": RandomChoice,
}
