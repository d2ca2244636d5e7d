"""Upstreams that have said in a response that they leave."""

import eliot

from poplarloft.coordination import serving
from poplarloft.daemon.serving.fleet import member_registry
from poplarloft.daemon.serving.fleet import peer_link
from poplarloft.daemon.serving.store import view
from poplarloft import state

__all__ = ["LeavingLink"]


class LeavingLink:
    """Ends the use of upstreams that leave, and tells other instances.

    Parameters
    ----------
    name : str
        Name of this instance.
    peers : peer_link.PeerLink
        Messages from and to other instances.
    membership : member_registry.Membership
        Knows the other instances.
    sampler_view : view.SamplerView
        The upstreams of this instance.
    """

    def __init__(
        self,
        name: str,
        peers: peer_link.PeerLink,
        membership: member_registry.Membership,
        sampler_view: view.SamplerView,
    ) -> None:
        self.name = name
        self.peers = peers
        self.membership = membership
        self.sampler_view = sampler_view
        peers.on(state.LeavingNotice, self._on_notice)

    def on_response(
        self, sampler: state.Sampler, note: state.ResponseNote
    ) -> None:
        """Take note of what one response of an upstream says."""
        if note.leaving_error:
            eliot.log_message(
                "leaving-unreadable",
                upstream=sampler.name,
                request=note.request_id,
                error=note.leaving_error,
            )
        if note.is_leaving:
            notice = state.LeavingNotice(*sampler.engine_id, self.name)
            self._apply(notice, note.request_id)

    def _on_notice(self, notice: state.LeavingNotice) -> None:
        self._apply(notice)

    def _apply(
        self, notice: state.LeavingNotice, request_id: str = ""
    ) -> None:
        """End the use of an upstream, and tell others the first time."""
        if not self.sampler_view.on_leaving(notice.engine_id):
            return
        addresses = serving.notice_recipients(
            self.name,
            notice.engine_id,
            self.membership.members,
            self.membership.now_ms(),
        )
        eliot.log_message(
            "upstream-leaving",
            upstream=notice.upstream,
            born_ms=notice.born_ms,
            heard_by=notice.heard_by,
            request=request_id,
            shared_with=len(addresses),
        )
        for address in addresses:
            self.peers.send_reliably(address, notice)
