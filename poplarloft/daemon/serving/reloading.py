"""Reloads the settings on SIGHUP or when their file changes."""

import asyncio
from collections import abc
import os
import typing

import eliot

from poplarloft.protocol import errors
from poplarloft.protocol import serving_settings

__all__ = ["SettingsReloader", "Configurable"]

POLL_INTERVAL_MS = 1_000
MS_PER_S = 1_000


class Configurable(typing.Protocol):
    """A daemon whose settings can change at run time."""

    settings: serving_settings.ServingSettings

    def apply(self, settings: serving_settings.ServingSettings) -> list[str]:
        """Apply new settings; return changed names that need a restart."""


class SettingsReloader:
    """Applies changed settings to a running daemon.

    Malformed settings are logged, and the previous ones stay in force.

    Parameters
    ----------
    arguments : sequence of str
        Command-line flags of the process.
    daemon : Configurable
        Receives the settings.
    """

    def __init__(
        self, arguments: abc.Sequence[str], daemon: Configurable
    ) -> None:
        self.arguments = list(arguments)
        self.daemon = daemon
        self.path = serving_settings.settings_path(self.arguments)
        self.modified_ns = self._modified_ns()

    async def run(self) -> None:
        """Poll the file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_MS / MS_PER_S)
            if self._modified_ns() != self.modified_ns:
                self.reload("file")

    def reload(self, cause: str = "signal") -> None:
        """Load the settings again and apply them."""
        self.modified_ns = self._modified_ns()
        try:
            settings = serving_settings.load_serving_settings(self.arguments)
        except errors.FieldError as error:
            eliot.log_message("reload-refused", cause=cause, error=str(error))
            return
        previous = self.daemon.settings
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(previous, name) != getattr(settings, name)
        ]
        eliot.log_message(
            "reloaded",
            cause=cause,
            changed=changed,
            needs_restart=self.daemon.apply(settings),
        )

    def _modified_ns(self) -> int:
        """Return the file's modification time, 0 if there is none."""
        if self.path is None:
            return 0
        try:
            return os.stat(self.path).st_mtime_ns
        except OSError:
            # The file is being replaced; the next poll finds the new one.
            return 0
