"""Stand-in for a service that scores samples."""

import asyncio
import collections
import random

from poplarloft.protocol import engine
from poplarloft.protocol import http
from poplarloft import state
from standins import serving

__all__ = ["ScorerServer"]

MS_PER_S = 1_000


class ScorerServer(serving.StandIn):
    """Scores samples and counts the calls for each slot."""

    def __init__(
        self,
        upstream: state.Upstream,
        rng: random.Random | None = None,
        work_ms: float = 1.0,
    ) -> None:
        super().__init__(rng)
        self.upstream = upstream
        self.work_ms = work_ms
        self.scored: collections.Counter[tuple[str, int, int, int]] = (
            collections.Counter()
        )

    async def handle(self, request: http.HttpRequest) -> http.HttpResponse:
        """Score one sample by the mean of the last digits of its tokens."""
        sample = serving.decode(request.body, engine.ScoreRequest)
        slot = (sample.lot, sample.step, sample.group, sample.index)
        self.scored[slot] += 1
        await asyncio.sleep(self.work_ms / MS_PER_S)
        digits = [token % 10 for token in sample.tokens]
        score = sum(digits) / (9 * max(1, len(digits)))
        return serving.json_response(engine.ScoreAnswer(score=score))
