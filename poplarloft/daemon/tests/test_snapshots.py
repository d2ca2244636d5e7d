"""Corrupted, outdated and unwritable snapshots never prevent a start."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarloft import coordination
from poplarloft.daemon import configuration
from poplarloft.daemon import snapshots
from poplarloft.daemon import tasks
from poplarloft.daemon import usage
from poplarloft.protocol import errors
from poplarloft.protocol import snapshots as encoding
from poplarloft import state


def make_service(folder, revision=None):
    clock = state.ManualClock(1_000)
    head_service = configuration.ConfigurationService(
        None, "a#1", clock, tasks.TaskSet()
    )
    if revision is not None:
        head_service.offer(state.Configuration(revision))
    meter = coordination.UsageMeter(state.Incarnation("a", 1))
    return snapshots.SnapshotService(
        folder,
        head_service,
        coordination.PoisonGuard(clock, clock),
        usage.UsageService(None, meter, clock, "norte-a", 1_000),
    )


async def test_what_was_written_is_restored(tmp_path):
    written = make_service(tmp_path, revision=7)
    written.guard.on_update(state.QuarantineUpdate("f" * 32, 9_000, 0))
    written.usage.meter.add("o", "engine", "answered", 30)
    written.usage.publish()
    written.write()
    restored = make_service(tmp_path)
    assert restored.restore()
    assert restored.configuration.follower.revision == 7
    quarantined = coordination.FingerprintStatus.QUARANTINED
    assert restored.guard.status_of("f" * 32) is quarantined
    assert restored.usage.totals.totals == written.usage.totals.totals


async def test_an_older_snapshot_never_lowers_the_revision(tmp_path):
    make_service(tmp_path, revision=3).write()
    newer = make_service(tmp_path, revision=5)
    newer.restore()
    assert newer.configuration.follower.revision == 5


async def test_a_missing_file_or_folder_does_not_prevent_a_start(
    tmp_path,
):
    assert not make_service(tmp_path).restore()
    without_folder = make_service(tmp_path / "nowhere", revision=1)
    assert not without_folder.restore()
    without_folder.write()


async def test_a_failed_write_leaves_the_old_snapshot(tmp_path):
    make_service(tmp_path, revision=3).write()
    blocked = make_service(tmp_path, revision=4)
    (tmp_path / "snapshot.new").mkdir()
    blocked.write()
    restored = make_service(tmp_path)
    restored.restore()
    assert restored.configuration.follower.revision == 3


@hypothesis.given(
    position=strategies.integers(0, 10_000), bit=strategies.integers(0, 7)
)
def test_every_flipped_bit_and_truncation_is_detected(position, bit):
    data = encoding.encode_snapshot(encoding.Snapshot(head=b"some head"))
    altered = bytearray(data)
    altered[position % len(data)] ^= 1 << bit
    for corrupted in (bytes(altered), data[: position % len(data)]):
        with pytest.raises(errors.ProtocolError):
            encoding.decode_snapshot(corrupted)
