"""Who is behind a bearer token."""

import hmac

from poplarloft.protocol import http
from poplarloft import state

__all__ = ["find_caller", "find_operator"]


def find_caller(
    configuration: state.Configuration, token: str | None
) -> str | None:
    """Return the owner whose callers use `token`, or None."""
    return _find(configuration, token, "token_digests")


def find_operator(
    configuration: state.Configuration, token: str | None
) -> str | None:
    """Return the owner whose operators use `token`, or None."""
    return _find(configuration, token, "operator_digests")


def _find(
    configuration: state.Configuration, token: str | None, field: str
) -> str | None:
    """Compare with every digest, so that time tells nothing."""
    if token is None:
        return None
    digest = http.bearer_digest(token)
    found = None
    for document in configuration.of_kind(state.DocumentKind.OWNER):
        for known in getattr(document.body, field):
            if hmac.compare_digest(known, digest):
                found = document.name
    return found
