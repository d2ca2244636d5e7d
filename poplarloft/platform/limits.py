"""The request rate that an upstream names in its responses."""

import math
import re

from poplarloft.platform import names
from poplarloft import state
from poplarloft.transport import http_client

__all__ = ["MAX_RATE_PER_S", "named_limit"]

MAX_RATE_PER_S = 1_000_000.0  # higher rates count as this one
MAX_TEXT = 32
DECIMAL = re.compile(r"([0-9]+\.?[0-9]*|\.[0-9]+)([eE][+-]?[0-9]+)?")
ABSENT = state.NamedLimit(None)


def named_limit(response: http_client.UpstreamResponse) -> state.NamedLimit:
    """Return the limit that a response names.

    Several values in one response, and a value that is not a decimal number
    of at most `MAX_TEXT` characters, are errors.
    """
    if names.RATE_LIMIT not in response.headers:
        return ABSENT
    values = response.header_values(names.RATE_LIMIT)
    if len(values) > 1:
        return state.NamedLimit(None, f"{len(values)} values, expected one")
    text = values[0].strip()
    if len(text) > MAX_TEXT or DECIMAL.fullmatch(text) is None:
        return state.NamedLimit(
            None, f"expected a decimal number, got {text[:MAX_TEXT]!r}"
        )
    rate_per_s = float(text)
    if not math.isfinite(rate_per_s):
        return state.NamedLimit(None, f"{text!r} is not finite")
    return state.NamedLimit(min(rate_per_s, MAX_RATE_PER_S))
