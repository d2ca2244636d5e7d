"""Entry point of `poplarloftd platform`."""

import asyncio
from collections import abc
import signal

import eliot

from poplarloft.daemon import machine
from poplarloft.daemon.serving import bulk
from poplarloft.daemon.serving import entry
from poplarloft.daemon.serving import reloading
from poplarloft.daemon.serving import telemetry
from poplarloft.daemon import tasks
from poplarloft.protocol import addresses
from poplarloft.protocol import serving_settings
from poplarloft import state
from poplarloft.transport import http_server

__all__ = ["run_platform"]


def run_platform(arguments: abc.Sequence[str]) -> None:
    """Run the daemon until SIGTERM or SIGINT.

    Raises
    ------
    FieldError
        If a setting is invalid.
    """
    settings = serving_settings.load_serving_settings(arguments)
    machine.limit_process(settings)
    shares = machine.machine_shares(settings)
    recorder = telemetry.Telemetry(
        state.MonotonicClock(),
        settings.name,
        limits=http_server.share_limits(shares.control),
    )
    recorder.install()
    asyncio.run(_run(settings, arguments, recorder))
    recorder.summarize()


async def _run(
    settings: serving_settings.ServingSettings,
    arguments: abc.Sequence[str],
    recorder: telemetry.Telemetry,
) -> None:
    tasks.log_unhandled_errors()
    daemon: entry.EntryDaemon | bulk.BulkDaemon
    if settings.duty == "entry":
        daemon = entry.EntryDaemon(settings)
    else:
        daemon = bulk.BulkDaemon(settings)
    recorder.uses = daemon.uses
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    reloader = reloading.SettingsReloader(arguments, daemon)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    eliot.log_message("starting", duty=settings.duty)
    daemon.task_set.supervise(recorder.run)
    daemon.task_set.supervise(reloader.run)
    if settings.metrics_listen is not None:
        await recorder.serve(addresses.parse_address(settings.metrics_listen))
    await daemon.start()
    eliot.log_message("started", duty=settings.duty)
    await stopping.wait()
    eliot.log_message("stopping")
    await daemon.stop()
