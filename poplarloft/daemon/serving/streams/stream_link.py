"""Tells other instances which software versions began streams."""

from collections import abc
import dataclasses

from poplarloft.coordination import routing
from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon.serving.streams import stream_log
from poplarloft.daemon import tasks
from poplarloft import state

__all__ = ["StreamLink"]

KEEPERS = 2  # instances that remember a stream
MAX_ASKED = 3  # one more, as they may have changed since
MAX_TOLD = 6  # as many may have ended at once, and are listed for a while
# An instance is in the store's list once it has started, and the list that
# was read may be some seconds old.
MAX_UNLISTED_MS = 10_000
Members = abc.Mapping[str, state.PeerRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class _Started:
    """An instance that said that it has started, and when."""

    address: state.Address
    at_ms: int


class StreamLink:
    """Remembers streams of this instance and of others.

    The instances that keep a stream are chosen among all by rendezvous
    hash, so that whoever looks for it knows whom to ask. They record it in
    the store, from which one that has started since reads it. The instance
    at which it has begun tells them until one of them has recorded it, and
    again when one of them has started.

    Parameters
    ----------
    name : str
        Name of this instance.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    members : callable
        Return the instances by name, empty until they are known.
    store : state.RevisionStore
        Has the streams that began while other instances ran.
    """

    def __init__(
        self,
        name: str,
        peers: peer_link.PeerLink,
        members: abc.Callable[[], Members],
        store: state.RevisionStore,
    ) -> None:
        self.name = name
        self.peers = peers
        self.members = members
        clock = state.BootClock()
        self.table = serving.StreamTable(clock)
        self.log = stream_log.StreamLog(
            name, store, self.table, self._send_receipts
        )
        self.reports = serving.StreamReports(clock)
        self.report_timer = tasks.WakeTimer(self._send_reports)
        self.reports_due_at_ms: int | None = None
        self.started: dict[str, _Started] = {}  # not listed yet
        peers.on(state.StreamNotice, self._on_notice)
        peers.on(state.StreamReceipt, self._on_receipt)
        peers.on(state.StreamRecall, self._on_recall)

    def start(self, task_set: tasks.TaskSet) -> None:
        """Start recording streams in the store."""
        task_set.supervise(self.log.run)

    def recall(self, members: Members) -> None:
        """Ask other instances to tell this one their streams again."""
        recall = state.StreamRecall(self.name, self.peers.address)
        for name, member in members.items():
            if name != self.name and member.peers is not None:
                self.peers.send_reliably(member.peers, recall)

    def on_listed(self) -> None:
        """Use the addresses of instances that have been listed.

        One that started a while ago and is not among them has ended.
        """
        listed = self.members()
        oldest_ms = self.table.clock.now_ms() - MAX_UNLISTED_MS
        self.started = {
            name: started
            for name, started in self.started.items()
            if name not in listed and started.at_ms > oldest_ms
        }

    def record(self, key: str, sampler: state.Sampler) -> None:
        """Remember that an upstream has begun a stream."""
        if not sampler.software_version:
            return
        record = state.StreamRecord(
            key, sampler.service, sampler.software_version
        )
        self.table.add(record)
        self.reports.add(record)
        self._schedule_reports(serving.REPORT_DELAY_MS)

    def keepers(self, key: str, count: int = MAX_ASKED) -> list[state.Address]:
        """Return the addresses of the other instances that keep a stream."""
        members = self.members()
        addresses = {
            name: row.peers
            for name, row in members.items()
            if row.peers is not None and name != self.name
        }
        offering = {name for name in addresses if members[name].issues_permits}
        addresses |= {
            name: started.address for name, started in self.started.items()
        }
        offering |= self.started.keys()
        ranked = routing.rendezvous_rank(key, list(offering or addresses))
        return [addresses[name] for name in ranked[:count]]

    def _schedule_reports(self, delay_ms: int | None) -> None:
        """Send the reports that are due after a delay, or before it."""
        if delay_ms is None:
            return
        due_at_ms = self.table.clock.now_ms() + delay_ms
        scheduled_ms = self.reports_due_at_ms
        if scheduled_ms is None or due_at_ms < scheduled_ms:
            self.reports_due_at_ms = due_at_ms
            self.report_timer.set(delay_ms)

    def _send_reports(self) -> None:
        """Tell the keepers of streams that they have not confirmed."""
        self.reports_due_at_ms = None
        by_address: dict[state.Address, list[state.StreamRecord]] = {}
        for due in self.reports.take_due():
            # Those that were told before may have ended.
            count = min(KEEPERS + due.attempts, MAX_TOLD)
            addresses = self.keepers(due.record.key, count)
            for address in addresses or [self.peers.address]:
                by_address.setdefault(address, []).append(due.record)
        for address, records in by_address.items():
            notice = state.StreamNotice(
                tuple(records),
                self.reports.issue_ticket(records),
                self.peers.address,
            )
            if address == self.peers.address:
                self._on_notice(notice)
            else:
                self.peers.send_reliably(address, notice)
        self._schedule_reports(self.reports.next_due_in_ms())

    def _on_notice(self, notice: state.StreamNotice) -> None:
        for record in notice.records:
            self.table.add(record)
        if notice.address is not None:
            self.log.add(notice.records, (notice.address, notice.ticket))

    def _send_receipts(self, receipts: set[stream_log.Receipt]) -> None:
        for address, ticket in receipts:
            if address == self.peers.address:
                self.reports.on_receipt(ticket)
            else:
                self.peers.send_reliably(address, state.StreamReceipt(ticket))

    def _on_recall(self, recall: state.StreamRecall) -> None:
        now_ms = self.table.clock.now_ms()
        self.started[recall.name] = _Started(recall.address, now_ms)
        self.reports.repeat_all()
        self._schedule_reports(self.reports.next_due_in_ms())

    def _on_receipt(self, receipt: state.StreamReceipt) -> None:
        self.reports.on_receipt(receipt.ticket)
