"""Passes on what the responses of upstreams say of these."""

from poplarloft.daemon.serving.fleet import leaving_link
from poplarloft.daemon.serving.fleet import upstream_limits
from poplarloft import state

__all__ = ["ResponseNotes"]


class ResponseNotes:
    """A `samplers.ResponseObserver` for limits and for upstreams that leave.

    Parameters
    ----------
    limits : upstream_limits.UpstreamLimits
        Permits for upstreams that have named a limit.
    leaving : leaving_link.LeavingLink
        Ends the use of upstreams that leave.
    """

    def __init__(
        self,
        limits: upstream_limits.UpstreamLimits,
        leaving: leaving_link.LeavingLink,
    ) -> None:
        self.limits = limits
        self.leaving = leaving

    def on_response(
        self, sampler: state.Sampler, note: state.ResponseNote
    ) -> None:
        """Take note of what the response to a request says."""
        self.limits.on_response(sampler, note.limit, note.request_id)
        self.leaving.on_response(sampler, note)

    def on_control_response(
        self, sampler: state.Sampler, note: state.ResponseNote
    ) -> None:
        """Take note of the response to a probe, a report or an order.

        These count towards no limit and say nothing of one.
        """
        self.leaving.on_response(sampler, note)
