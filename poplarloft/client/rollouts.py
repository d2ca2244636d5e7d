"""Client that pulls the samples of one lot, step by step."""

import asyncio
from collections import abc

import msgspec
from returns import result

from poplarloft.client import holdings
from poplarloft import coordination
from poplarloft.protocol import pulls
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["PullFailed", "RolloutClient"]

OK = 200
MAX_ANSWER_BYTES = 67_108_864
PULL_TIMEOUT_MS = 10_000
RETRY_MS = 100
MS_PER_S = 1_000


class PullFailed(ConnectionError):
    """The step was not complete within the allowed time."""


class RolloutClient:
    """Collects complete steps from any of several daemons.

    Parameters
    ----------
    addresses : sequence of state.Address
        Daemons to pull from; after a failure the next one is tried.
    token : str
        The owner's bearer token.
    collector : coordination.StepCollector
        Decides which samples are accepted.
    file : holdings.HoldingsFile or None
        Stores the accepted samples across restarts; without it, a
        restarted trainer pulls the whole step again.
    """

    def __init__(
        self,
        addresses: abc.Sequence[state.Address],
        token: str,
        collector: coordination.StepCollector,
        file: holdings.HoldingsFile | None = None,
    ) -> None:
        self.addresses = list(addresses)
        self.token = token
        self.collector = collector
        self.file = file
        self.client = http_client.HttpClient()
        self.position = 0
        self.failures = 0
        if file is not None:
            file.restore(collector)
            if not collector.held:
                file.begin_step(collector)

    async def collect_step(self, timeout_ms: int) -> None:
        """Pull until the step is complete.

        Raises
        ------
        PullFailed
            If the step is not complete within `timeout_ms`.
        """
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                while not self.collector.is_complete():
                    await self._pull_once()
        except TimeoutError:
            held = len(self.collector.held)
            raise PullFailed(
                f"step {self.collector.step} of lot "
                f"{self.collector.lot!r} holds {held} samples after "
                f"{timeout_ms} ms"
            ) from None

    def finish_step(self, weight_version: int) -> list[state.Sample]:
        """Return the samples of the complete step and begin the next one."""
        samples = self.collector.finish_step(weight_version)
        if self.file is not None:
            self.file.begin_step(self.collector)
        return samples

    def close(self) -> None:
        """Close all connections."""
        self.client.close()

    async def _pull_once(self) -> None:
        collector = self.collector
        address = self.addresses[self.position % len(self.addresses)]
        pull = collector.next_pull()
        outcome = await self.client.send(
            address,
            "POST",
            f"/v1/lots/{collector.lot}/pull",
            [("authorization", f"Bearer {self.token}")],
            pulls.encode_pull_request(pull, insist=self._must_insist()),
            PULL_TIMEOUT_MS,
        )
        match outcome:
            case result.Success(response):
                if await self._accept(response):
                    self.failures = 0
                    return
        self.position += 1
        self.failures += 1
        await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _must_insist(self) -> bool:
        """Return whether a pull from each daemon has failed in a row.

        The daemon that holds the lot's lease, its coordinator, may be
        running but unreachable from this trainer. A second coordinator
        then generates samples twice; it never causes a wrong delivery.
        """
        return self.failures >= len(self.addresses)

    async def _accept(self, response: http_client.UpstreamResponse) -> bool:
        """Accept the samples of a response; return whether it was valid."""
        try:
            body = await response.read(MAX_ANSWER_BYTES)
            if response.status != OK:
                return False
            samples = pulls.decode_pull_answer(body)
        except (OSError, msgspec.MsgspecError):
            return False
        accepted = self.collector.on_samples(samples)
        if self.file is not None:
            self.file.append(self.collector.lot, self.collector.step, accepted)
        return True
