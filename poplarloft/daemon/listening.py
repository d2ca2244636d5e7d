"""Limits and certificates of the listener of a standalone daemon."""

import dataclasses
import ssl

from poplarloft.coordination import clients
from poplarloft.protocol import settings as settings_module
from poplarloft.transport import http_server

__all__ = ["server_limits", "tls_context"]


def server_limits(
    settings: settings_module.DaemonSettings, shares: clients.MachineShares
) -> http_server.ServerLimits:
    """Return the limits on requests, and on what clients may take."""
    limits = http_server.share_limits(shares.requests)
    return dataclasses.replace(
        limits,
        max_head_bytes=settings.max_head_bytes,
        head_timeout_ms=settings.head_timeout_ms,
        body_timeout_ms=settings.body_timeout_ms,
        idle_timeout_ms=settings.idle_timeout_ms,
        max_connections=min(settings.max_connections, limits.max_connections),
    )


def tls_context(
    settings: settings_module.DaemonSettings,
) -> ssl.SSLContext | None:
    """Return the TLS context, None if there is no certificate."""
    if settings.tls_certificate is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
