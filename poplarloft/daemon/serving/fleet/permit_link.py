"""Exchanges limits and permits with other instances."""

import asyncio
import itertools

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import member_registry
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft import state

__all__ = ["PermitLink"]

ANSWER_TIMEOUT_MS = 400
SUSPECT_MS = 2_000  # an issuer that did not answer is not asked meanwhile
NOTICE_DELAY_MS = 100  # changes of that time share a message
MS_PER_S = 1_000


class PermitLink:
    """Asks issuers for permits, and issues those of this instance.

    Parameters
    ----------
    clock : state.Clock
        Clock that also advances while the machine is suspended.
    name : str
        Name of this instance.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    membership : member_registry.Membership
        Knows the other instances.
    table : serving.LimitTable
        The known limits, which messages update.
    """

    def __init__(
        self,
        clock: state.Clock,
        name: str,
        peers: peer_link.PeerLink,
        membership: member_registry.Membership,
        table: serving.LimitTable,
    ) -> None:
        self.clock = clock
        self.name = name
        self.peers = peers
        self.membership = membership
        self.table = table
        self.issuer = serving.PermitIssuer(clock)
        self.ranks = serving.IssuerRanks()
        self.own_turns = serving.OwnTurns(membership, name)
        self.tickets = itertools.count(1)
        self.pending: dict[int, asyncio.Future[state.PermitAnswer]] = {}
        self.suspected_until_ms: dict[str, int] = {}
        self.changed: set[serving.EngineId] = set()
        peers.on(state.PermitRequest, self._on_request)
        peers.on(state.PermitAnswer, self._on_answer)
        peers.on(state.LimitNotice, self._on_notice)

    def on_change(
        self, engine_id: serving.EngineId, request_id: str = ""
    ) -> None:
        """Log a limit that has changed, and tell others of it."""
        known = self.table.report_of(engine_id)
        if known is None:
            return
        shared_with = self._recipients(engine_id)
        eliot.log_message(
            "limit-ended" if known.rate_per_s is None else "limit-named",
            upstream=known.upstream,
            born_ms=known.born_ms,
            rate_per_s=known.rate_per_s,
            heard_by=known.heard_by,
            age_ms=known.age_ms,
            request=request_id,
            shared_with=len(shared_with),
        )
        if not shared_with:
            return
        if not self.changed:
            asyncio.get_running_loop().call_later(
                NOTICE_DELAY_MS / MS_PER_S, self._send_notices
            )
        self.changed.add(engine_id)

    async def ask(
        self, engine_id: serving.EngineId, need: serving.PermitNeed
    ) -> serving.Permit | None:
        """Return the decision of the first issuer that answers.

        Where none does, this instance takes a turn of its own; None if it
        may not know all who do.
        """
        await self.membership.list_once()
        members = self.membership.members
        for place, issuer in enumerate(self._ranked(engine_id)):
            if issuer == self.name:
                own_place = self._own_place(engine_id)
                if own_place is not None:
                    return self.decide_here(engine_id, need, own_place)
                continue
            if self.clock.now_ms() < self.suspected_until_ms.get(issuer, 0):
                continue
            address = members[issuer].peers
            report = self.table.report_of(engine_id)
            if address is None or report is None:
                return None
            answer = await self._exchange(
                address, self._request(report, need, place > 0)
            )
            if answer is None:
                self._suspect(issuer, engine_id)
                continue
            self.membership.on_reached(issuer)
            if answer.is_issuer:
                return serving.Permit(answer.is_granted, answer.wait_ms)
        return self._take_turn(engine_id, need)

    def decide_here(
        self,
        engine_id: serving.EngineId,
        need: serving.PermitNeed,
        place: serving.Place,
    ) -> serving.Permit:
        """Return this instance's own decision as an issuer."""
        report = self.table.report_of(engine_id)
        if report is None or report.rate_per_s is None:
            return serving.Permit(True, 0)
        request = self._request(report, need, place.number > 0)
        return self.issuer.decide(request, report.rate_per_s, place)

    def _take_turn(
        self, engine_id: serving.EngineId, need: serving.PermitNeed
    ) -> serving.Permit | None:
        rate_per_s = self.table.rate_of(engine_id)
        members = self.membership.members
        if rate_per_s is None or not self.membership.may_issue:
            return None
        permit = self.own_turns.decide(engine_id, need, rate_per_s, members)
        if permit.is_granted:
            eliot.log_message(
                "permit-own-turn",
                request=need.request_id,
                upstream=engine_id[0],
                wait_ms=permit.wait_ms,
                members=len(members),
            )
        return permit

    def _suspect(self, issuer: str, engine_id: serving.EngineId) -> None:
        """Ask an issuer that did not answer no more for a while."""
        until_ms = self.clock.now_ms() + SUSPECT_MS
        self.suspected_until_ms[issuer] = until_ms
        self.membership.on_silent(issuer)
        eliot.log_message(
            "permit-issuer-lost", issuer=issuer, upstream=engine_id[0]
        )

    def _ranked(self, engine_id: serving.EngineId) -> list[str]:
        return self.ranks.rank(
            engine_id, self.membership.members, self.membership.now_ms()
        )

    def _own_place(self, engine_id: serving.EngineId) -> serving.Place | None:
        """Return this instance's place among the issuers, if it is one."""
        if not self.membership.may_issue:
            return None
        return self.ranks.place_of(
            self.name,
            engine_id,
            self.membership.members,
            self.membership.now_ms(),
        )

    def _recipients(self, engine_id: serving.EngineId) -> list[state.Address]:
        return serving.notice_recipients(
            self.name,
            engine_id,
            self.membership.members,
            self.membership.now_ms(),
        )

    def _request(
        self,
        report: state.LimitReport,
        need: serving.PermitNeed,
        is_deputy: bool,
    ) -> state.PermitRequest:
        return state.PermitRequest(
            next(self.tickets),
            self.peers.address,
            report,
            is_deputy,
            need.priority,
            need.max_wait_ms,
        )

    async def _exchange(
        self, address: state.Address, request: state.PermitRequest
    ) -> state.PermitAnswer | None:
        """Send a request to an issuer; return its answer if one comes."""
        future = asyncio.get_running_loop().create_future()
        self.pending[request.ticket] = future
        self.peers.send_reliably(address, request)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / MS_PER_S):
                answer: state.PermitAnswer = await future
        except TimeoutError:
            return None
        finally:
            del self.pending[request.ticket]
        self._apply(answer.report)
        return answer

    def _on_request(self, request: state.PermitRequest) -> None:
        """Answer another instance's request for a permit."""
        self._apply(request.report)
        known = self.table.report_of(request.report.engine_id)
        place = self._own_place(request.report.engine_id)
        if known is None or known.rate_per_s is None:
            permit = serving.Permit(True, 0)
        elif place is None:
            permit = serving.Permit(False, 0)
        else:
            permit = self.issuer.decide(request, known.rate_per_s, place)
        answer = state.PermitAnswer(
            request.ticket,
            permit.is_granted,
            permit.wait_ms,
            known or request.report,
            permit.is_granted or place is not None,
        )
        self.peers.send_reliably(request.address, answer)

    def _on_answer(self, answer: state.PermitAnswer) -> None:
        future = self.pending.get(answer.ticket)
        if future is not None and not future.done():
            future.set_result(answer)

    def _on_notice(self, notice: state.LimitNotice) -> None:
        for report in notice.reports:
            self._apply(report)

    def _apply(self, report: state.LimitReport) -> None:
        if self.table.on_report(report):
            self.on_change(report.engine_id)

    def _send_notices(self) -> None:
        reports: dict[state.Address, list[state.LimitReport]] = {}
        for engine_id in self.changed:
            known = self.table.report_of(engine_id)
            if known is None:
                continue
            for address in self._recipients(engine_id):
                reports.setdefault(address, []).append(known)
        self.changed.clear()
        for address, known_reports in reports.items():
            notice = state.LimitNotice(tuple(known_reports))
            self.peers.send_reliably(address, notice)
