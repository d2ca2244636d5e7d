"""Classification of failed attempts, and whether to retry them."""

import dataclasses
import enum

from poplarloft.coordination import token_buckets
from poplarloft import state

__all__ = [
    "AttemptPlan",
    "Failure",
    "FailureKind",
    "GiveUp",
    "Retry",
    "RetryBudget",
    "verdict_of",
]


class FailureKind(enum.StrEnum):
    """How an attempt at an upstream failed.

    ``REFUSED_WITH_PROOF``: the upstream's response guarantees that it did
    not run the request. ``REFUSED_WITHOUT_PROOF``: the response leaves that
    open. ``NO_CONNECTION_FREE``: this instance has as many connections open
    as it may have, which says nothing of the upstream.
    """

    NO_CONNECTION_FREE = "no-connection-free"
    CONNECT_REFUSED = "connect-refused"
    CONNECT_TIMEOUT = "connect-timeout"
    RESET_BEFORE_SEND = "reset-before-send"
    RESET_AFTER_SEND = "reset-after-send"
    TRUNCATED_RESPONSE = "half-answer"
    TIMEOUT = "timeout"
    MALFORMED_RESPONSE = "malformed-answer"
    REFUSED_WITH_PROOF = "refused-with-proof"
    REFUSED_WITHOUT_PROOF = "refused-without-proof"


_NOT_RUN_KINDS = frozenset(
    {
        FailureKind.NO_CONNECTION_FREE,
        FailureKind.CONNECT_REFUSED,
        FailureKind.CONNECT_TIMEOUT,
        FailureKind.RESET_BEFORE_SEND,
        FailureKind.REFUSED_WITH_PROOF,
    }
)


def verdict_of(kind: FailureKind) -> state.Verdict:
    """Return the verdict on whether a failed request may have run.

    Only a failure before the first byte of the request was sent, or proof
    from the upstream itself, rules out that the request ran.
    """
    if kind in _NOT_RUN_KINDS:
        return state.Verdict.NOT_RUN
    return state.Verdict.MAY_HAVE_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """One failed attempt."""

    upstream: str
    kind: FailureKind
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Action: choose another upstream, excluding those already tried."""

    excluded: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp:
    """Action: respond to the caller with `refusal`."""

    refusal: state.Refusal


class RetryBudget:
    """Limit on retries, as a fraction of recent successes.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    ratio : float
        Retries added to the budget per success.
    reserve : float
        Initial number of retries, which is also the maximum.
    """

    def __init__(
        self, clock: state.Clock, ratio: float = 0.1, reserve: float = 10.0
    ) -> None:
        self.ratio = ratio
        self.bucket = token_buckets.TokenBucket(clock, 0.0, reserve)

    def on_success(self) -> None:
        """Add a fraction of a retry to the budget."""
        self.bucket.put(self.ratio)

    def take(self) -> bool:
        """Take one retry if the budget allows it; return whether it did."""
        return self.bucket.take()


class AttemptPlan:
    """Attempts of one request, and the decision after each failure.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    budget : RetryBudget
        Retry budget shared by all requests of an owner and route.
    repeatable : bool
        Whether the request may run more than once.
    deadline_ms : int
        Time on `clock` after which no attempt is started.
    max_attempts : int
        Maximum number of attempts, including the first. Refused
        connections do not count.
    """

    def __init__(
        self,
        clock: state.Clock,
        budget: RetryBudget,
        repeatable: bool,
        deadline_ms: int,
        max_attempts: int,
    ) -> None:
        self.clock = clock
        self.budget = budget
        self.repeatable = repeatable
        self.deadline_ms = deadline_ms
        self.max_attempts = max_attempts
        self.failures: list[Failure] = []

    @property
    def verdict(self) -> state.Verdict:
        """Verdict on whether any attempt so far may have run."""
        verdicts = {verdict_of(f.kind) for f in self.failures}
        if verdicts <= {state.Verdict.NOT_RUN}:
            return state.Verdict.NOT_RUN
        return state.Verdict.MAY_HAVE_RUN

    def on_failure(self, failure: Failure) -> Retry | GiveUp:
        """Return a retry, or the refusal, after a failed attempt."""
        self.failures.append(failure)
        if not self._may_repeat():
            return self._give_up(state.Reason.UPSTREAM_FAILED)
        if self._attempts_made() >= self.max_attempts:
            return self._give_up(state.Reason.UPSTREAM_FAILED)
        if self.clock.now_ms() >= self.deadline_ms:
            return self._give_up(state.Reason.DEADLINE)
        if not self.budget.take():
            return self._give_up(state.Reason.RETRY_BUDGET)
        return Retry(frozenset(f.upstream for f in self.failures))

    def on_no_upstream(self, service: str) -> GiveUp:
        """Give up because no upstream is left to try."""
        detail = f"service {service!r} has no eligible upstream left"
        return GiveUp(
            state.Refusal(
                state.Reason.NO_UPSTREAM, self.verdict, detail, 1_000
            )
        )

    def _attempts_made(self) -> int:
        """Return the number of attempts that count towards the maximum.

        A refused connection takes no time and causes no work at the
        upstream, so it counts only against the retry budget.
        """
        return sum(
            failure.kind is not FailureKind.CONNECT_REFUSED
            for failure in self.failures
        )

    def _may_repeat(self) -> bool:
        return self.repeatable or self.verdict is state.Verdict.NOT_RUN

    def _give_up(self, reason: state.Reason) -> GiveUp:
        last = self.failures[-1]
        detail = (
            f"attempt {len(self.failures)} at upstream {last.upstream!r} "
            f"failed: {last.kind}"
        )
        if last.detail:
            detail = f"{detail} ({last.detail})"
        return GiveUp(state.Refusal(reason, self.verdict, detail, 1_000))
