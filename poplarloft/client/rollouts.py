"""Pulls the samples of one lot, step by step."""

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
PULL_TIMEOUT_MS = 10_000
RETRY_MS = 100
MS_PER_S = 1_000


class PullFailed(ConnectionError):
    """No daemon answered a pull within the allowed time."""


class RolloutClient:
    """Collects whole steps from any of several daemons.

    Parameters
    ----------
    addresses : sequence of state.Address
        Daemons to ask; after a failure the next one is asked.
    token : str
        The owner's bearer token.
    collector : coordination.StepCollector
        Decides what is taken.
    file : holdings.HoldingsFile or None
        Keeps what was taken across restarts.
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
        """Return the whole step's samples and begin the next one."""
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
        sent = await self.client.send(
            address,
            "POST",
            f"/v1/lots/{collector.lot}/pull",
            [("authorization", f"Bearer {self.token}")],
            pulls.encode_pull_request(pull, insist=self._insists()),
            PULL_TIMEOUT_MS,
        )
        match sent:
            case result.Success(answer):
                if await self._take(answer):
                    self.failures = 0
                    return
        self.position += 1
        self.failures += 1
        await asyncio.sleep(RETRY_MS / MS_PER_S)

    def _insists(self) -> bool:
        """Tell whether each daemon has failed, the coordinator too.

        The coordinator may be alive and yet cut off from this trainer;
        another one then costs double work, never a wrong delivery.
        """
        return self.failures >= len(self.addresses)

    async def _take(self, answer: http_client.UpstreamResponse) -> bool:
        """Take the samples of an answer; tell whether it was one."""
        try:
            body = await answer.read()
            if answer.status != OK:
                return False
            samples = pulls.decode_pull_answer(body)
        except (OSError, msgspec.MsgspecError):
            return False
        taken = self.collector.on_samples(samples)
        if self.file is not None:
            self.file.append(self.collector.lot, self.collector.step, taken)
        return True
