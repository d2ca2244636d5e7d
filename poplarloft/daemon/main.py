"""Entry point of `poplarloftd`."""

import asyncio
import signal
import sys

from poplarloft.daemon import logs
from poplarloft.daemon import node as node_module
from poplarloft.protocol import errors
from poplarloft.protocol import settings as settings_module

__all__ = ["main"]

EXIT_BAD_SETTING = 2
EXIT_NO_START = 3


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    try:
        settings = settings_module.load_settings(sys.argv[1:])
    except errors.FieldError as error:
        print(f"poplarloftd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    logs.start_logging(settings.name)
    try:
        asyncio.run(_run(settings))
    except errors.FieldError as error:
        print(f"poplarloftd: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    except OSError as error:
        print(f"poplarloftd: cannot start: {error}", file=sys.stderr)
        sys.exit(EXIT_NO_START)


async def _run(settings: settings_module.DaemonSettings) -> None:
    node = node_module.Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload_keys)
    await node.start()
    await node.stop_requested.wait()
    await node.stop()


if __name__ == "__main__":
    main()
