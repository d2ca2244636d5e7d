"""Files of CURVE keys: an instance's own pair, and the allow list.

An allow list has a line per daemon: its name, its public key and, for a
seed, its peer address.
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

KEY_CHARS = 40
MIN_FIELDS, MAX_FIELDS = 2, 3


@dataclasses.dataclass(frozen=True)
class KeyPair:
    """An instance's keys, as Z85 text."""

    public: bytes
    secret: bytes

    def __repr__(self) -> str:
        return f"KeyPair(public={self.public!r})"


@dataclasses.dataclass(frozen=True)
class AllowedPeer:
    """A daemon that may connect."""

    name: str
    public: bytes
    address: str = ""


def format_key_pair(pair: KeyPair) -> str:
    """Return the text of a key file."""
    return f"public {pair.public.decode()}\nsecret {pair.secret.decode()}\n"


def parse_key_pair(text: str) -> KeyPair:
    """Return the pair in a key file.

    Raises
    ------
    FieldError
        If a key is missing or malformed; the message holds no secret.
    """
    found: dict[str, bytes] = {}
    for line in text.splitlines():
        kind, _, key = line.partition(" ")
        found[kind] = _key(kind, key)
    for kind in ("public", "secret"):
        if kind not in found:
            raise errors.FieldError(kind, "is missing in the key file")
    return KeyPair(found["public"], found["secret"])


def parse_allow_list(text: str) -> list[AllowedPeer]:
    """Return the daemons of an allow list.

    Raises
    ------
    FieldError
        Naming the line that is malformed.
    """
    return [
        _allowed(number, line)
        for number, line in enumerate(text.splitlines(), 1)
        if line.strip() and not line.startswith("#")
    ]


def _allowed(number: int, line: str) -> AllowedPeer:
    fields = line.split()
    if not MIN_FIELDS <= len(fields) <= MAX_FIELDS:
        raise errors.FieldError(
            f"line {number}", "expected NAME PUBLIC-KEY [IP-NUMBER:PORT]"
        )
    address = fields[2] if len(fields) == MAX_FIELDS else ""
    if address:
        addresses.parse_address(address)
    return AllowedPeer(fields[0], _key(f"line {number}", fields[1]), address)


def _key(field: str, text: str) -> bytes:
    key = text.strip().encode("ascii", "replace")
    if len(key) != KEY_CHARS:
        raise errors.FieldError(
            field, f"expected a key of {KEY_CHARS} characters of Z85"
        )
    return key
