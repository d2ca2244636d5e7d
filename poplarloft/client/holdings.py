"""File in which a trainer stores the samples of its current step."""

import os
import pathlib

import msgspec

from poplarloft import coordination
from poplarloft.protocol import pulls
from poplarloft import state

__all__ = ["HoldingsFile"]


class _Header(msgspec.Struct):
    lot: str
    step: int
    weight_version: int


class HoldingsFile:
    """Stores the accepted samples of one step; each step replaces the file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def restore(self, collector: coordination.StepCollector) -> int:
        """Restore the step, the version and the samples of `collector`.

        A last line that a crash truncated is ignored: the trainer had not
        accepted its samples.

        Returns
        -------
        int
            The number of samples restored.
        """
        if not self.path.exists():
            return 0
        lines = self.path.read_bytes().splitlines()
        try:
            header = msgspec.json.decode(lines[0], type=_Header)
        except (IndexError, msgspec.MsgspecError):
            return 0
        if header.lot != collector.lot or header.step < collector.step:
            return 0
        collector.step = header.step
        collector.weight_version = header.weight_version
        return sum(_restore_line(collector, line) for line in lines[1:])

    def begin_step(self, collector: coordination.StepCollector) -> None:
        """Replace the file with one for the collector's step."""
        header = _Header(
            collector.lot, collector.step, collector.weight_version
        )
        temporary = self.path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(msgspec.json.encode(header) + b"\n")
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path)

    def append(
        self, lot: str, step: int, accepted: list[state.Sample]
    ) -> None:
        """Append newly accepted samples."""
        if not accepted:
            return
        line = pulls.encode_pull_answer(lot, step, tuple(accepted))
        with self.path.open("ab") as file:
            file.write(line + b"\n")
            file.flush()
            os.fsync(file.fileno())


def _restore_line(collector: coordination.StepCollector, line: bytes) -> int:
    try:
        samples = pulls.decode_pull_answer(line)
    except msgspec.MsgspecError:
        return 0
    return len(collector.on_samples(samples))
