"""Token buckets that limit calls, retries and requests."""

from poplarloft import state

__all__ = ["TokenBucket"]

MS_PER_S = 1_000


class TokenBucket:
    """Token bucket with rate `rate_per_s` and capacity `burst`.

    Parameters
    ----------
    clock : state.Clock
        Monotonic time.
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens, which is also the initial number.
    """

    def __init__(
        self, clock: state.Clock, rate_per_s: float, burst: float
    ) -> None:
        self.clock = clock
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.filled_at_ms = clock.now_ms()

    def take(self, amount: float = 1.0) -> bool:
        """Take `amount` tokens if available; return whether they were."""
        self._fill()
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def put(self, amount: float) -> None:
        """Add `amount` tokens, up to the capacity."""
        self._fill()
        self.tokens = min(self.burst, self.tokens + amount)

    def ready_at_ms(self, amount: float = 1.0) -> int:
        """Return the time at which `amount` tokens will be available."""
        self._fill()
        missing = max(0.0, amount - self.tokens)
        if missing == 0.0:
            return self.clock.now_ms()
        if self.rate_per_s <= 0:
            raise ValueError(
                f"rate_per_s is {self.rate_per_s}, expected > 0 to refill"
            )
        wait_ms = int(missing * MS_PER_S / self.rate_per_s) + 1
        return self.clock.now_ms() + wait_ms

    def _fill(self) -> None:
        now_ms = self.clock.now_ms()
        elapsed_ms = now_ms - self.filled_at_ms
        gained = elapsed_ms * self.rate_per_s / MS_PER_S
        self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at_ms = now_ms
