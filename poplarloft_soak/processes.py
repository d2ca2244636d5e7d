"""Daemons as separate processes, stopped and started by signals."""

import os
import pathlib
import signal
import socket
import subprocess
import sys

from poplarloft import state

__all__ = ["DaemonProcess", "free_address"]

REGION = "r"
DATA_CENTRE = "z"
DRAIN_NOTICE_MS = 600
GRACE_S = 6
HOSTS = 250


def own_host() -> str:
    """Return a loopback number of this process alone.

    Ports that are free now stay free there: no other soak listens there,
    and connections have another number as their source.
    """
    high, low = divmod(os.getpid(), HOSTS)
    return f"127.{1 + high % HOSTS}.{low}.1"


def free_address() -> state.Address:
    """Return an address that nobody listens on."""
    host = own_host()
    with socket.socket() as probe:
        probe.bind((host, 0))
        return state.Address(host, probe.getsockname()[1])


class DaemonProcess:
    """One daemon: its process is replaced at each start.

    Parameters
    ----------
    name, duty : str
        As in its settings.
    store : state.Address
        Where it finds the store.
    folder : pathlib.Path
        Where its log goes.
    """

    def __init__(
        self,
        name: str,
        duty: str,
        store: state.Address,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.duty = duty
        self.front = free_address()
        self.ready = free_address()
        self.log = folder / f"{name}.log"
        self.arguments = [
            sys.executable,
            "-m",
            "poplarloft.daemon",
            "platform",
            f"--name={name}",
            f"--duty={duty}",
            f"--region={REGION}",
            f"--data-centre={DATA_CENTRE}",
            f"--store={store}",
            f"--peer-listen={free_address()}",
            f"--relay-listen={free_address()}",
            f"--drain-notice-ms={DRAIN_NOTICE_MS}",
            f"--grace-s={GRACE_S}",
        ]
        if duty == "entry":
            self.arguments += [
                f"--listen={self.front}",
                f"--ready-listen={self.ready}",
            ]
        self.process: subprocess.Popen[bytes] | None = None
        self.is_planned_end = False

    @property
    def is_running(self) -> bool:
        """Tell whether the process exists."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process, unless it runs."""
        if self.is_running:
            return
        self.is_planned_end = False
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.arguments,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.is_running:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.is_planned_end = True
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def ended_by_itself(self) -> bool:
        """Tell whether the process ended and nobody asked it to."""
        if self.process is None or self.is_planned_end:
            return False
        return self.process.poll() is not None
