"""Learns the request rates to which upstreams limit themselves."""

import eliot

from poplarloft.coordination import serving
from poplarloft import state

__all__ = ["UpstreamLimits"]


class UpstreamLimits:
    """The limits that upstreams name in their responses.

    Parameters
    ----------
    name : str
        Name of this instance.
    """

    def __init__(self, name: str) -> None:
        self.table = serving.LimitTable(state.BootClock(), name)

    def on_response(
        self, sampler: state.Sampler, named: state.NamedLimit, request_id: str
    ) -> None:
        """Take note of what one response of an upstream says."""
        if named.error:
            eliot.log_message(
                "limit-unreadable",
                upstream=sampler.name,
                request=request_id,
                error=named.error,
            )
            return
        previous_per_s = self.table.rate_of(sampler.engine_id)
        if not self.table.on_response(sampler.engine_id, named):
            return
        ended = named.rate_per_s is None
        eliot.log_message(
            "limit-ended" if ended else "limit-named",
            upstream=sampler.name,
            service=sampler.service,
            born_ms=sampler.born_ms,
            rate_per_s=named.rate_per_s,
            previous_per_s=previous_per_s,
            request=request_id,
        )
