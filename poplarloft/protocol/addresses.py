"""Parsing of IP addresses with ports."""

import ipaddress

from poplarloft.protocol import errors
from poplarloft.protocol import numbers
from poplarloft import state

__all__ = ["parse_address"]

MAX_PORT = 65_535


def parse_address(text: str) -> state.Address:
    """Return the address in ``ip:port`` or ``[ipv6]:port`` form.

    Raises
    ------
    ProtocolError
        If the host is not an IP address, or the port is not in the range
        0 to 65535.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator:
        raise errors.ProtocolError("expected IP-ADDRESS:PORT")
    try:
        ip = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise errors.ProtocolError(
            f"host {host[:80]!r} is not an IP address; names are not resolved"
        ) from None
    port = numbers.parse_count(port_text)
    if port is None or port > MAX_PORT:
        raise errors.ProtocolError(
            f"port {port_text[:80]!r} is not a number from 0 to {MAX_PORT}"
        )
    return state.Address(str(ip), port)
