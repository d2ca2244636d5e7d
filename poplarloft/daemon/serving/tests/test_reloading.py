"""Reloading of settings while a daemon runs."""

import os

from poplarloft.daemon.serving import base
from poplarloft.daemon.serving import reloading
from poplarloft.protocol import serving_settings

SETTINGS = (
    "POPLARLOFT_NAME=a\nPOPLARLOFT_DUTY=bulk\nPOPLARLOFT_REGION=r\n"
    "POPLARLOFT_DATA_CENTRE=z\nPOPLARLOFT_STORE=127.0.0.1:{port}\n"
    "POPLARLOFT_GRACE_S={grace}\n{more}"
)


def write(path, port=1, grace=8, more="", stamp=0):
    path.write_text(SETTINGS.format(port=port, grace=grace, more=more))
    os.utime(path, ns=(stamp, stamp))


def make_reloader(path):
    write(path)
    arguments = ["--settings-file", str(path)]
    daemon = base.ServingBase(
        serving_settings.load_serving_settings(arguments)
    )
    return daemon, reloading.SettingsReloader(arguments, daemon)


async def test_changed_file_is_applied_without_a_signal(tmp_path, monkeypatch):
    monkeypatch.setattr(reloading, "POLL_INTERVAL_MS", 10)
    path = tmp_path / "settings"
    daemon, settings_reloader = make_reloader(path)
    task = daemon.task_set.spawn(settings_reloader.run())
    write(path, port=2, grace=5, stamp=1_000)
    while daemon.settings.grace_s != 5:
        assert not task.done()
        await reloading.asyncio.sleep(0.01)
    assert daemon.store.direct.address.port == 2
    await daemon.task_set.cancel_all()


async def test_malformed_settings_keep_the_previous_ones(tmp_path):
    path = tmp_path / "settings"
    daemon, settings_reloader = make_reloader(path)
    write(path, grace="soon", stamp=1_000)
    settings_reloader.reload()
    assert daemon.settings.grace_s == 8
    path.unlink()
    settings_reloader.reload()
    assert daemon.settings.name == "a"


async def test_changes_that_need_a_restart_are_returned(tmp_path):
    path = tmp_path / "settings"
    daemon, settings_reloader = make_reloader(path)
    write(path, more="POPLARLOFT_PEER_LISTEN=127.0.0.1:9\n", stamp=1_000)
    settings = serving_settings.load_serving_settings(
        settings_reloader.arguments
    )
    assert daemon.apply(settings) == ["peer_listen"]
