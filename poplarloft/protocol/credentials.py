"""Authentication of callers and operators by bearer tokens."""

import hmac

from poplarloft.protocol import http
from poplarloft import state

__all__ = ["find_caller", "find_operator"]


def find_caller(
    configuration: state.Configuration, token: str | None
) -> str | None:
    """Return the owner whose callers' token this is, or None."""
    return _find_owner(configuration, token, "token_digests")


def find_operator(
    configuration: state.Configuration, token: str | None
) -> str | None:
    """Return the owner whose operators' token this is, or None."""
    return _find_owner(configuration, token, "operator_digests")


def _find_owner(
    configuration: state.Configuration, token: str | None, field: str
) -> str | None:
    """Return the owner with the digest of `token` in `field`, or None.

    All digests are compared, each in constant time, so that the time of
    the search reveals nothing about them.
    """
    if token is None:
        return None
    digest = http.bearer_digest(token)
    owner = None
    for document in configuration.of_kind(state.DocumentKind.OWNER):
        for known_digest in getattr(document.body, field):
            if hmac.compare_digest(known_digest, digest):
                owner = document.name
    return owner
