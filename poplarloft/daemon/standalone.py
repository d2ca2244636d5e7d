"""Run the daemon with its own front end, from startup to shutdown."""

import asyncio
from collections import abc
import signal

from poplarloft.daemon import logs
from poplarloft.daemon import machine
from poplarloft.daemon import node as node_module
from poplarloft.daemon import tasks
from poplarloft.protocol import settings as settings_module

__all__ = ["run_standalone"]


def run_standalone(arguments: abc.Sequence[str]) -> None:
    """Run until SIGTERM or SIGINT.

    Raises
    ------
    errors.FieldError
        If a setting is invalid.
    """
    settings = settings_module.load_settings(arguments)
    machine.limit_process(settings)
    logs.start_logging(settings.name)
    asyncio.run(_run(settings))


async def _run(settings: settings_module.DaemonSettings) -> None:
    tasks.log_unhandled_errors()
    node = node_module.Node(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload_keys)
    await node.start()
    await node.stop_requested.wait()
    await node.stop()
