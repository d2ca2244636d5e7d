"""Exceptions for rejected input."""

from collections import abc
import typing

import msgspec

__all__ = ["DECODING_ERRORS", "FieldError", "ProtocolError", "decoded"]

MAX_REASON_CHARS = 200
T = typing.TypeVar("T")
# Deeply nested values exceed the recursion limit, numbers of thousands of
# digits are a ValueError, and infinite ones an OverflowError.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class ProtocolError(ValueError):
    """Malformed input; the message says what was expected."""


class FieldError(ProtocolError):
    """A field with an invalid value.

    Parameters
    ----------
    field : str
        Dotted path of the field.
    reason : str
        What is wrong with the value, and which values are valid.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def decoded(field: str, decode: abc.Callable[[], T]) -> T:
    """Return a decoded value; raise whatever is wrong as a `FieldError`.

    Parameters
    ----------
    field : str
        Name of the value for the error message.
    decode : callable
        Decodes the value.
    """
    try:
        return decode()
    except ProtocolError:
        raise
    except DECODING_ERRORS as error:
        reason = str(error)[:MAX_REASON_CHARS]
        raise FieldError(field, reason) from error
