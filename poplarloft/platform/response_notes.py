"""What an upstream says of itself in the headers of its responses."""

from poplarloft.platform import limits
from poplarloft.platform import names
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["note_of"]

LEAVES = "1"
MAX_SHOWN = 32


def note_of(response: http_client.UpstreamResponse) -> state.ResponseNote:
    """Return what a response says of its upstream's limit and end."""
    request_id = response.headers.get(names.REQUEST_ID, "")
    limit = limits.named_limit(response)
    if names.LEAVING not in response.headers:
        return state.ResponseNote(request_id, limit)
    values = response.header_values(names.LEAVING)
    if values == [LEAVES]:
        return state.ResponseNote(request_id, limit, is_leaving=True)
    shown = ", ".join(repr(value[:MAX_SHOWN]) for value in values[:2])
    error = f"expected one {LEAVES!r}, got {len(values)} values: {shown}"
    return state.ResponseNote(request_id, limit, leaving_error=error)
