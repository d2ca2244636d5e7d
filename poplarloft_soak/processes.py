"""Daemons as separate processes that are controlled by signals."""

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
HOSTS_PER_NETWORK = 250
returned_addresses: set[state.Address] = set()


def process_host() -> str:
    """Return a loopback address that this process alone listens on.

    A port that is free on it stays free: no other soak listens on this
    address, and outgoing connections have another source address.
    """
    high, low = divmod(os.getpid(), HOSTS_PER_NETWORK)
    return f"127.{1 + high % HOSTS_PER_NETWORK}.{low}.1"


def free_address() -> state.Address:
    """Return an address with a free port that was not returned before.

    The kernel may offer a port again that no daemon listens on yet.
    """
    host = process_host()
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            address = state.Address(host, probe.getsockname()[1])
        if address not in returned_addresses:
            returned_addresses.add(address)
            return address


class DaemonProcess:
    """A daemon that gets a new process at each start.

    Its settings and addresses stay the same.

    Parameters
    ----------
    name, role : str
        Name and duty in its settings.
    store : state.Address
        Address of the store, or of a proxy before it.
    folder : pathlib.Path
        Folder of its log file.
    """

    def __init__(
        self,
        name: str,
        role: str,
        store: state.Address,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.role = role
        self.request_address = free_address()
        self.readiness_address = free_address()
        self.peer_address = free_address()
        self.relay_address = free_address()
        self.log = folder / f"{name}.log"
        self.arguments = [
            sys.executable,
            "-m",
            "poplarloft.daemon",
            "platform",
            f"--name={name}",
            f"--duty={role}",
            f"--region={REGION}",
            f"--data-centre={DATA_CENTRE}",
            f"--store={store}",
            f"--peer-listen={self.peer_address}",
            f"--relay-listen={self.relay_address}",
            f"--drain-notice-ms={DRAIN_NOTICE_MS}",
            f"--grace-s={GRACE_S}",
        ]
        if role == "entry":
            self.arguments += [
                f"--listen={self.request_address}",
                f"--ready-listen={self.readiness_address}",
            ]
        self.process: subprocess.Popen[bytes] | None = None
        self.is_exit_expected = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process, unless it is running."""
        if self.is_running:
            return
        self.is_exit_expected = False
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.arguments,
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.is_running:
            if signal_number in (signal.SIGTERM, signal.SIGKILL):
                self.is_exit_expected = True
            self.process.send_signal(signal_number)

    def end(self) -> None:
        """Kill the process, also when paused, and wait until it exited."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    def exited_unexpectedly(self) -> bool:
        """Return whether the process exited without SIGTERM or SIGKILL."""
        if self.process is None or self.is_exit_expected:
            return False
        return self.process.poll() is not None
