"""Choice of an upstream for one request.

The scored policy adds up, in milliseconds of engine time, the predicted
queueing delay, the prefill of uncached tokens and the cost of the network
distance. Load reports arrive late, so an instance adds the requests that
it has dispatched since each report.
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
PREFERRED_SHORTLISTED = 4
MAX_RANKED_PREFIXES = 10_000


def prefix_blocks(prompt: str, block_chars: int = BLOCK_CHARS) -> list[int]:
    """Return a chained hash of each complete block of a prompt.

    Two prompts share their first n hashes if and only if their first
    n x `block_chars` characters are equal.
    """
    hashes: list[int] = []
    previous = 0
    complete = len(prompt) - len(prompt) % block_chars
    for start in range(0, complete, block_chars):
        block = prompt[start : start + block_chars]
        previous = xxhash.xxh64_intdigest(block.encode(), seed=previous)
        hashes.append(previous)
    return hashes


def rendezvous_rank(key: str | bytes, names: abc.Iterable[str]) -> list[str]:
    """Return `names` in descending order of rendezvous weight for `key`.

    Notes
    -----
    Highest random weight hashing (Thaler and Ravishankar, 1998): removing
    a name reassigns only the keys for which it ranked first.
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
    """Selects a bounded number of upstreams for scoring.

    Ranking all upstreams for a prefix takes time linear in their number,
    so the first ranks are cached until the set of upstreams changes.

    Parameters
    ----------
    rng : random.Random
        Draws the names besides the preferred ones of the prefix.
    length : int
        Maximum length; no more names than this are returned unchanged.
    """

    def __init__(self, rng: random.Random, length: int = 16) -> None:
        self.rng = rng
        self.length = length
        self.names: tuple[str, ...] = ()
        self.preferred: dict[int, list[str]] = {}

    def choose(
        self, request: "RouteRequest", names: tuple[str, ...]
    ) -> abc.Sequence[str]:
        """Return the preferred upstreams of the prefix and random others."""
        if len(names) <= self.length:
            return names
        if names != self.names or len(self.preferred) > MAX_RANKED_PREFIXES:
            self.names = names
            self.preferred = {}
        drawn = self.rng.sample(names, self.length - PREFERRED_SHORTLISTED)
        if not request.prefix:
            return drawn
        first_block = request.prefix[0]
        if first_block not in self.preferred:
            ranked = rendezvous_rank(str(first_block), names)
            self.preferred[first_block] = ranked[:PREFERRED_SHORTLISTED]
        return list(dict.fromkeys([*self.preferred[first_block], *drawn]))


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request on which routing depends."""

    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    expected_tokens: int = 64

    @classmethod
    def of_prompt(
        cls, prompt: str, expected_tokens: int = 64
    ) -> "RouteRequest":
        """Return the request of a prompt, with an estimated token count."""
        return cls(
            tuple(prefix_blocks(prompt)),
            len(prompt) // CHARS_PER_TOKEN,
            expected_tokens,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An eligible upstream with estimates of its load and cache.

    Parameters
    ----------
    name : str
        Name of the upstream.
    queued_tokens : float
        Tokens that it has yet to generate, including those of requests
        dispatched by this instance.
    distance_cost_ms : float
        Cost of the network distance, in milliseconds of engine time.
    cached : frozenset of int
        Prefix blocks that are known or assumed to be in its cache.
    """

    name: str
    queued_tokens: float = 0.0
    distance_cost_ms: float = 0.0
    cached: frozenset[int] = frozenset()


class RoutingPolicy(typing.Protocol):
    """Chooses one candidate; all candidates passed to it are eligible."""

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return one of `candidates`, which is not empty."""


class RandomChoice:
    """Baseline: a candidate drawn uniformly at random."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> Candidate:
        """Return a random candidate."""
        return self.rng.choice(candidates)


class RoundRobin:
    """Baseline: each candidate in turn."""

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
    """Baseline: the shortest estimated queue, regardless of caches."""

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
    """Cost of tokens, in milliseconds of engine time.

    Parameters
    ----------
    decode_ms, prefill_ms : float
        Time per generated token and per prompt token.
    batch_tokens : float
        Queued tokens that an engine processes in one batch, without
        queueing delay.
    load_factor : float
        Bound on the load: a preferred upstream of a prefix is skipped
        once its queue exceeds this multiple of the mean.
    block_tokens : int
        Tokens per prefix block.
    """

    decode_ms: float = 0.5
    prefill_ms: float = 0.2
    batch_tokens: float = 256.0
    load_factor: float = 2.5
    block_tokens: int = 16


class ScoredTwoChoices:
    """Lowest score among two random candidates and two for the prefix.

    The latter are the preferred upstream of the prefix and the candidate
    with the most cached blocks of it.

    Parameters
    ----------
    rng : random.Random
        Draws the two random candidates.
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
        """Return the candidate with the lowest score."""
        drawn = self.rng.sample(candidates, min(2, len(candidates)))
        if request.prefix:
            drawn += self._prefix_candidates(request, candidates)
        return min(drawn, key=lambda c: self.score(request, c))

    def score(self, request: RouteRequest, candidate: Candidate) -> float:
        """Return predicted time to first token plus distance cost, in ms."""
        excess_tokens = candidate.queued_tokens - self.costs.batch_tokens
        wait_ms = max(0.0, excess_tokens) * self.costs.decode_ms
        cached = self._cached_blocks(request, candidate)
        cached_tokens = cached * self.costs.block_tokens
        uncached_tokens = max(0, request.prompt_tokens - cached_tokens)
        prefill_ms = uncached_tokens * self.costs.prefill_ms
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

    def _prefix_candidates(
        self, request: RouteRequest, candidates: abc.Sequence[Candidate]
    ) -> list[Candidate]:
        """Return the preferred upstream and the one with most of the prefix.

        The preferred upstream ranks first by rendezvous hashing among the
        nearest candidates whose load is within the bound. All instances
        of a data centre compute the same ranks without communication, so
        requests with a common prefix go to one nearby upstream before
        any cache event arrives.
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
        chosen = []
        for name in rendezvous_rank(str(request.prefix[0]), near):
            if near[name].queued_tokens <= limit:
                chosen.append(near[name])
                break
        holder = max(candidates, key=lambda c: self._cached_blocks(request, c))
        if self._cached_blocks(request, holder):
            chosen.append(holder)
        return chosen


ROUTING_POLICIES: dict[str, abc.Callable[[random.Random], RoutingPolicy]] = {
    "scored": ScoredTwoChoices,
    "least-loaded": LeastLoaded,
    "round-robin": RoundRobin,
    "random": RandomChoice,
}
