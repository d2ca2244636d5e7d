"""Client of a daemon's operator interface."""

import asyncio
import dataclasses
import typing

import msgspec
from returns import result

from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["ApiError", "DaemonApi"]

TIMEOUT_MS = 30_000
MAX_ANSWER_BYTES = 67_108_864
FIRST_ERROR_STATUS = 400


class ApiError(Exception):
    """A call that failed.

    Parameters
    ----------
    detail : str
        What failed.
    may_have_run : bool
        Whether the call may have taken effect. If so, read the state
        before sending the call again.
    """

    def __init__(self, detail: str, may_have_run: bool = False) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run


class _Problem(msgspec.Struct):
    detail: str = ""
    reason: str = ""
    verdict: str = ""


@dataclasses.dataclass(frozen=True)
class DaemonApi:
    """Address of a daemon and the operator's token for it."""

    address: state.Address
    token: str

    def call(
        self, method: str, path: str, body: bytes = b""
    ) -> dict[str, typing.Any]:
        """Return the decoded response to one call.

        Raises
        ------
        ApiError
            If the daemon is unreachable or refuses the call.
        """
        return asyncio.run(self._call(method, path, body))

    def rows(self, method: str, path: str) -> list[dict[str, typing.Any]]:
        """Return the decoded response to a call that returns a list."""
        return typing.cast(
            list[dict[str, typing.Any]], self.call(method, path)
        )

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> dict[str, typing.Any]:
        client = http_client.HttpClient()
        outcome = await client.send(
            self.address,
            method,
            path,
            [("authorization", f"Bearer {self.token}")],
            body,
            TIMEOUT_MS,
        )
        match outcome:
            case result.Success(response):
                data = await response.read(MAX_ANSWER_BYTES)
                client.close()
            case result.Failure(failure):
                raise ApiError(
                    f"daemon {self.address}: {failure.detail}",
                    method != "GET",
                )
        if response.status < FIRST_ERROR_STATUS:
            return typing.cast(
                dict[str, typing.Any], msgspec.json.decode(data)
            )
        problem = msgspec.json.decode(data, type=_Problem)
        raise ApiError(
            f"{problem.reason}: {problem.detail}",
            problem.verdict != state.Verdict.NOT_RUN,
        )
