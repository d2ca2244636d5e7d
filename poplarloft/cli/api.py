"""Calls a daemon's operators' interface."""

import asyncio
import dataclasses
import typing

import msgspec
from returns import result

from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["ApiError", "DaemonApi"]

TIMEOUT_MS = 30_000
FIRST_ERROR_STATUS = 400


class ApiError(Exception):
    """A call that failed; `may_have_run` tells whether to read first."""

    def __init__(self, detail: str, may_have_run: bool = False) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run


class _Problem(msgspec.Struct):
    detail: str = ""
    reason: str = ""
    verdict: str = ""


@dataclasses.dataclass(frozen=True)
class DaemonApi:
    """One daemon and the operator's token."""

    address: state.Address
    token: str

    def call(
        self, method: str, path: str, body: bytes = b""
    ) -> dict[str, typing.Any]:
        """Return the decoded answer of one call.

        Raises
        ------
        ApiError
            If the daemon can't be reached or refuses.
        """
        return asyncio.run(self._call(method, path, body))

    def rows(self, method: str, path: str) -> list[dict[str, typing.Any]]:
        """Return the decoded answer of a call that answers a list."""
        return typing.cast(
            list[dict[str, typing.Any]], self.call(method, path)
        )

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> dict[str, typing.Any]:
        client = http_client.HttpClient()
        sent = await client.send(
            self.address,
            method,
            path,
            [("authorization", f"Bearer {self.token}")],
            body,
            TIMEOUT_MS,
        )
        match sent:
            case result.Success(answer):
                data = await answer.read()
                client.close()
            case result.Failure(failure):
                raise ApiError(
                    f"daemon {self.address}: {failure.detail}",
                    method != "GET",
                )
        if answer.status < FIRST_ERROR_STATUS:
            return typing.cast(
                dict[str, typing.Any], msgspec.json.decode(data)
            )
        problem = msgspec.json.decode(data, type=_Problem)
        raise ApiError(
            f"{problem.reason}: {problem.detail}",
            problem.verdict != state.Verdict.NOT_RUN,
        )
