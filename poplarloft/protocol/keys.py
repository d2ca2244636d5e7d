"""Formats of CURVE key files: an instance's key pair, and the allow list.

An allow list has a line per daemon: its name, its public key and, for a
seed, its peer address. Empty lines and lines that start with # are
ignored.
"""

import dataclasses

from poplarloft.protocol import addresses
from poplarloft.protocol import errors

__all__ = [
    "AllowedPeer",
    "KeyPair",
    "format_key_pair",
    "parse_allow_list",
    "parse_key_pair",
]

KEY_KINDS = ("public", "secret")
# Z85 encodes the 32 bytes of a CURVE key as 40 characters.
KEY_CHARS = 40
MIN_FIELDS, MAX_FIELDS = 2, 3


@dataclasses.dataclass(frozen=True)
class KeyPair:
    """An instance's key pair, encoded as Z85.

    Its `repr` leaves out the secret key.
    """

    public: bytes
    secret: bytes

    def __repr__(self) -> str:
        return f"KeyPair(public={self.public!r})"


@dataclasses.dataclass(frozen=True)
class AllowedPeer:
    """A daemon that may connect; `address` is set for seeds only."""

    name: str
    public: bytes
    address: str = ""


def format_key_pair(pair: KeyPair) -> str:
    """Return the content of a key file."""
    return f"public {pair.public.decode()}\nsecret {pair.secret.decode()}\n"


def parse_key_pair(text: str) -> KeyPair:
    """Return the key pair in the content of a key file.

    Raises
    ------
    FieldError
        If a key is missing or malformed. The message leaves out the key.
    """
    keys: dict[str, bytes] = {}
    for number, line in enumerate(text.splitlines(), 1):
        kind, _, key = line.partition(" ")
        if kind not in KEY_KINDS:
            raise errors.FieldError(
                f"line {number}", f"expected one of {KEY_KINDS} and a key"
            )
        keys[kind] = _parse_key(kind, key)
    for kind in KEY_KINDS:
        if kind not in keys:
            raise errors.FieldError(kind, "is missing from the key file")
    return KeyPair(keys["public"], keys["secret"])


def parse_allow_list(text: str) -> list[AllowedPeer]:
    """Return the daemons in the content of an allow list.

    Raises
    ------
    FieldError
        If a line is malformed; the field is the number of the line.
    ProtocolError
        If an address is malformed.
    """
    return [
        _parse_allowed_peer(number, line)
        for number, line in enumerate(text.splitlines(), 1)
        if line.strip() and not line.startswith("#")
    ]


def _parse_allowed_peer(number: int, line: str) -> AllowedPeer:
    fields = line.split()
    if not MIN_FIELDS <= len(fields) <= MAX_FIELDS:
        raise errors.FieldError(
            f"line {number}", "expected NAME PUBLIC-KEY [IP-ADDRESS:PORT]"
        )
    address = fields[2] if len(fields) == MAX_FIELDS else ""
    if address:
        addresses.parse_address(address)
    return AllowedPeer(
        fields[0], _parse_key(f"line {number}", fields[1]), address
    )


def _parse_key(field: str, text: str) -> bytes:
    key = text.strip().encode("ascii", "replace")
    if len(key) != KEY_CHARS:
        raise errors.FieldError(
            field, f"expected a Z85 key of {KEY_CHARS} characters"
        )
    return key
