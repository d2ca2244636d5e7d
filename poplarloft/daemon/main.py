"""Entry point of `poplarloftd`."""

import sys

from poplarloft.protocol import errors

__all__ = ["main"]

EXIT_INVALID_SETTING = 2
EXIT_START_FAILED = 3
PLATFORM_COMMAND = "platform"


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT.

    ``poplarloftd platform`` serves behind the platform's load balancer;
    without that subcommand the daemon listens with its own front end. Only
    the selected variant is imported, because the libraries of the other
    would take up memory.
    """
    try:
        if sys.argv[1:2] == [PLATFORM_COMMAND]:
            from poplarloft.daemon.serving import main as serving_main

            serving_main.run_platform(sys.argv[2:])
        else:
            from poplarloft.daemon import standalone

            standalone.run_standalone(sys.argv[1:])
    except errors.FieldError as error:
        print(f"poplarloftd: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTING)
    except OSError as error:
        print(f"poplarloftd: cannot start: {error}", file=sys.stderr)
        sys.exit(EXIT_START_FAILED)


if __name__ == "__main__":
    main()
