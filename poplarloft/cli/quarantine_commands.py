"""Commands on quarantines that daemons on a platform keep in its store."""

import asyncio
import datetime
import json
import typing

from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option
from returns import result

from poplarloft.cli import base
from poplarloft import coordination
from poplarloft.platform import store as platform_store
from poplarloft.protocol import addresses
from poplarloft.protocol import errors
from poplarloft.protocol import lot_records
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["QUARANTINE_COMMANDS"]

MS_PER_S = 1_000
WRITER = "operator"


class StoreCommand(command.Command):
    """Base class of commands that call the platform's store."""

    def handle(self) -> int:
        """Run the command; return an exit code for each kind of failure."""
        try:
            return asyncio.run(self._run())
        except errors.ProtocolError as error:
            self.line_error(f"error: {error}")
            return base.EXIT_BAD_INPUT

    async def run_command(self, store: platform_store.PlatformStore) -> int:
        """Do the work of the command; return its exit code."""
        raise NotImplementedError

    async def _run(self) -> int:
        address = addresses.parse_address(self.option("store") or "")
        client = http_client.HttpClient()
        try:
            return await self.run_command(
                platform_store.PlatformStore(client, address)
            )
        finally:
            client.close()

    async def read_guard(
        self, store: platform_store.PlatformStore
    ) -> coordination.PoisonGuard | None:
        """Return what the store holds; None, with a message, on failure."""
        listed = await platform_store.list_all(
            store, lot_records.CRASHES_PREFIX
        )
        match listed:
            case result.Success(entries):
                guard = coordination.PoisonGuard(
                    state.MonotonicClock(),
                    state.WallClock(),
                    coordination.PLATFORM_POISON_SETTINGS,
                )
                guard.restore(
                    update
                    for entry in entries
                    for update in lot_records.decode_crashes(
                        entry.value
                    ).updates()
                )
                return guard
            case result.Failure(failure):
                self.line_error(f"error: cannot read the store: {failure}")
        return None


class Quarantines(StoreCommand):
    """Lists quarantined requests."""

    name = "quarantines"
    description = "List requests that crashed upstreams, from the store"
    options: typing.ClassVar[list[typing.Any]] = [
        option("store", None, "IP number and port of the store", flag=False),
        option("json", None, "Print JSON for programs"),
    ]

    async def run_command(self, store: platform_store.PlatformStore) -> int:
        """Print a row per fingerprint that is suspect or quarantined."""
        guard = await self.read_guard(store)
        if guard is None:
            return base.EXIT_REFUSED
        rows = [
            _row(guard, fingerprint)
            for fingerprint in sorted({*guard.histories, *guard.quarantined})
            if guard.status_of(fingerprint)
            is not coordination.FingerprintStatus.CLEAR
        ]
        if self.option("json"):
            self.line(json.dumps(rows))
            return 0
        table = self.table()
        table.set_headers(["fingerprint", "status", "until", "crashes"])
        table.set_rows([[str(value) for value in r.values()] for r in rows])
        table.render()
        return 0


class Release(StoreCommand):
    """Ends a quarantine."""

    name = "release"
    description = "End the quarantine of a fingerprint on all daemons"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("fingerprint", "The fingerprint, 32 hex digits")
    ]
    options: typing.ClassVar[list[typing.Any]] = [
        option("store", None, "IP number and port of the store", flag=False)
    ]

    async def run_command(self, store: platform_store.PlatformStore) -> int:
        """Record the release, which daemons read within half a minute."""
        fingerprint = self.argument("fingerprint")
        guard = await self.read_guard(store)
        if guard is None:
            return base.EXIT_REFUSED
        status = guard.status_of(fingerprint)
        if status is coordination.FingerprintStatus.CLEAR:
            self.line_error(f"error: {fingerprint!r} is not quarantined")
            return base.EXIT_BAD_INPUT
        notice = state.CrashNotice(quarantines=(guard.release(fingerprint),))
        key = lot_records.crash_key(state.WallClock().now_ms(), WRITER, 0)
        value = lot_records.encode_crashes(notice)
        answer = await store.write([], [state.Put(key, value)])
        self.line(f"{fingerprint}: {answer.status.value}")
        match answer.status:
            case state.WriteStatus.APPLIED:
                return 0
            case state.WriteStatus.UNKNOWN:
                return base.EXIT_MAY_HAVE_RUN
        return base.EXIT_REFUSED


def _row(guard: coordination.PoisonGuard, fingerprint: str) -> base.Row:
    quarantine = guard.quarantined.get(fingerprint)
    history = guard.histories.get(fingerprint)
    until = ""
    if quarantine is not None and quarantine.until_ms:
        until = datetime.datetime.fromtimestamp(
            quarantine.until_ms / MS_PER_S, datetime.UTC
        ).isoformat(timespec="seconds")
    runs = [] if history is None else history.counted()
    return {
        "fingerprint": fingerprint,
        "status": guard.status_of(fingerprint).value,
        "until": until,
        "crashes": [f"{name}#{born_ms}" for name, born_ms in runs],
    }


QUARANTINE_COMMANDS = [Quarantines, Release]
