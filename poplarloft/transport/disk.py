"""Files that are replaced atomically."""

import os
import pathlib

__all__ = ["AtomicFile"]


class AtomicFile:
    """File whose readers see the old or the new content, never a mixture.

    Writes block the event loop until the data is on the disk, which is
    acceptable since they are short and rare.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file; its directory must exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def read(self) -> bytes | None:
        """Return the content, or None if the file cannot be read."""
        try:
            return self.path.read_bytes()
        except OSError:
            return None

    def replace(self, data: bytes) -> None:
        """Replace the content and flush it to the disk.

        Raises
        ------
        OSError
            If the disk is full or fails; the old content is kept.
        """
        temporary = self.path.with_name(self.path.name + ".new")
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path)
        directory = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
