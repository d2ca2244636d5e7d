"""Reads the settings anew when their file changes or a signal asks."""

import asyncio
from collections import abc
import os
import typing

import eliot

from poplarloft.protocol import errors
from poplarloft.protocol import serving_settings

__all__ = ["SettingsReloader", "Configurable"]

LOOK_MS = 1_000
MS_PER_S = 1_000


class Configurable(typing.Protocol):
    """A daemon whose settings may change while it runs."""

    settings: serving_settings.ServingSettings

    def apply(self, settings: serving_settings.ServingSettings) -> list[str]:
        """Take new settings; return the names that need a restart."""


class SettingsReloader:
    """Keeps a daemon's settings as their file says.

    Settings that are malformed leave those before in force.

    Parameters
    ----------
    arguments : sequence of str
        The flags of the process.
    daemon : Configurable
        Takes the settings.
    """

    def __init__(
        self, arguments: abc.Sequence[str], daemon: Configurable
    ) -> None:
        self.arguments = list(arguments)
        self.daemon = daemon
        self.path = serving_settings.settings_path(self.arguments)
        self.written_ns = self._written_ns()

    async def run(self) -> None:
        """Look for changes of the file until cancelled."""
        while True:
            await asyncio.sleep(LOOK_MS / MS_PER_S)
            if self._written_ns() != self.written_ns:
                self.reload("file")

    def reload(self, cause: str = "signal") -> None:
        """Read the settings anew and apply them."""
        self.written_ns = self._written_ns()
        try:
            settings = serving_settings.load_serving_settings(self.arguments)
        except errors.FieldError as error:
            eliot.log_message("reload-refused", cause=cause, error=str(error))
            return
        before = self.daemon.settings
        changed = [
            name
            for name in type(settings).model_fields
            if getattr(before, name) != getattr(settings, name)
        ]
        eliot.log_message(
            "reloaded",
            cause=cause,
            changed=changed,
            needs_restart=self.daemon.apply(settings),
        )

    def _written_ns(self) -> int:
        """Return when the file was written, 0 if there is none."""
        if self.path is None:
            return 0
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            # It is being replaced; the next look finds the new one.
            return 0
