"""Commands on the usage ledger."""

import dataclasses
import json
import typing

from cleo.helpers import argument

from poplarloft.cli import base
from poplarloft import coordination
from poplarloft.protocol import errors
from poplarloft.protocol import usage
from poplarloft import state

__all__ = ["USAGE_COMMANDS"]


class _UsageCommand(base.DaemonCommand):
    """A command on the usage ledger, read from a daemon."""

    def entries(self) -> list[state.UsageEntry]:
        """Return the entries of the daemon's data centre."""
        plain = self.api.call("GET", "/v1/usage")
        return list(usage.decode_segment(json.dumps(plain).encode()).entries)


class UsageShow(_UsageCommand):
    """Shows the owners' shares."""

    name = "usage show"
    description = "Show each owner's part of the booked upstream time"

    def run_command(self) -> int:
        """Print a row per owner."""
        totals = coordination.ledger_totals(self.entries())
        rows: list[base.Row] = [
            dataclasses.asdict(share)
            for share in coordination.owner_shares(totals)
        ]
        self.show(rows, ["owner", "busy_ms", "share"], rows)
        return 0


class UsageVerify(_UsageCommand):
    """Checks the chain of entries."""

    name = "usage verify"
    description = "Find any altered, removed or reordered entry"

    def run_command(self) -> int:
        """Print the first fault, or the number of entries."""
        entries = self.entries()
        fault = usage.find_integrity_error(entries)
        if fault is not None:
            self.line_error(f"error: {fault}")
            return base.EXIT_REFUSED
        last = entries[-1].digest if entries else "none"
        self.line(f"{len(entries)} entries, last digest {last}")
        return 0


class UsageExport(_UsageCommand):
    """Exports the ledger."""

    name = "usage export"
    description = "Print the ledger as CSV, a line per total"

    def run_command(self) -> int:
        """Print the lines."""
        self.write(usage.export_csv(self.entries()))
        return 0


class UsageDispute(base.DaemonCommand):
    """Disputes an entry."""

    name = "usage dispute"
    description = "Dispute an entry of the ledger, with a reason"
    arguments: typing.ClassVar[list[typing.Any]] = [
        argument("sequence", "The entry's sequence"),
        argument("reason", "Why, for the other owner to read"),
    ]

    def run_command(self) -> int:
        """Send the dispute and show it."""
        sequence = self.argument("sequence")
        if not sequence.isdecimal():
            raise errors.FieldError(
                "sequence", f"expected a whole number, got {sequence!r}"
            )
        body = json.dumps({"reason": self.argument("reason")}).encode()
        dispute = self.api.call("POST", f"/v1/usage/{sequence}/dispute", body)
        self.show(dispute, ["sequence", "owner", "reason"], [dispute])
        return 0


class UsageDisputes(base.DaemonCommand):
    """Lists disputes."""

    name = "usage disputes"
    description = "List the disputed entries of the ledger"

    def run_command(self) -> int:
        """Print a row per dispute."""
        rows = self.api.rows("GET", "/v1/usage/disputes")
        self.show(rows, ["sequence", "owner", "reason", "digest"], rows)
        return 0


USAGE_COMMANDS = [
    UsageDispute,
    UsageDisputes,
    UsageExport,
    UsageShow,
    UsageVerify,
]
