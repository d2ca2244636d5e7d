"""Snapshots of configuration, quarantines and usage on a local disk."""

import pathlib

import eliot

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import tasks
from poplarloft.daemon import usage
from poplarloft.protocol import errors
from poplarloft.protocol import snapshots
from poplarloft import state
from poplarloft.transport import disk

__all__ = ["SnapshotService"]

FILE_NAME = "snapshot"
WRITE_DELAY_MS = 1_000


class SnapshotService:
    """Restores a snapshot at startup and writes one after changes.

    Parameters
    ----------
    folder : pathlib.Path
        Data directory.
    configuration_service, guard, usage_service
        Components whose state is saved.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        configuration_service: configuration.ConfigurationService,
        guard: coordination.PoisonGuard,
        usage_service: usage.UsageService,
    ) -> None:
        self.file = disk.AtomicFile(folder / FILE_NAME)
        self.configuration = configuration_service
        self.guard = guard
        self.usage = usage_service
        self.timer = tasks.WakeTimer(self.write)
        configuration_service.listeners.append(self._on_head)

    def restore(self) -> bool:
        """Restore the state from the file.

        A truncated or corrupted file is logged and ignored. A revision
        takes effect only if it is higher than the one in force. Returns
        whether a valid snapshot was found.
        """
        data = self.file.read()
        if data is None:
            return False
        try:
            snapshot = snapshots.decode_snapshot(data)
        except errors.ProtocolError as error:
            eliot.log_message("snapshot-unreadable", error=str(error))
            return False
        self.configuration.offer_bytes(snapshot.head)
        for quarantine in snapshot.quarantines:
            self.guard.on_update(quarantine)
        for total in snapshot.usage:
            self.usage.totals.on_total(total)
        return True

    def write(self) -> None:
        """Write a snapshot; a failed write is logged and otherwise ignored."""
        snapshot = snapshots.Snapshot(
            head=self.configuration.encoded_head(),
            quarantines=list(self.guard.quarantined.values()),
            usage=list(self.usage.totals.unrecorded(self.usage.recorded)),
        )
        try:
            self.file.replace(snapshots.encode_snapshot(snapshot))
        except OSError as error:
            eliot.log_message("snapshot-failed", error=str(error))

    def _on_head(self, head: state.Configuration) -> None:
        self.timer.set(WRITE_DELAY_MS)
