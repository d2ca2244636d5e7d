"""Files that are replaced as a whole."""

import os
import pathlib

__all__ = ["AtomicFile"]


class AtomicFile:
    """A file whose readers see the old or the new content, never a part.

    Writes are short and rare: they stop the loop for the time of one
    flush to the disk.

    Parameters
    ----------
    path : pathlib.Path
        Where it lies; its folder must exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def read(self) -> bytes | None:
        """Return the content, or None if there is no readable file."""
        try:
            return self.path.read_bytes()
        except OSError:
            return None

    def replace(self, data: bytes) -> None:
        """Replace the content.

        Raises
        ------
        OSError
            If the disk is full or fails; the old content stays.
        """
        temporary = self.path.with_name(self.path.name + ".new")
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
