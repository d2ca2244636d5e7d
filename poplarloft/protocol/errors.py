"""Exceptions for rejected input."""

import pydantic

__all__ = ["FieldError", "ProtocolError", "first_field_error"]


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


def first_field_error(error: pydantic.ValidationError) -> FieldError:
    """Return the first error of a failed validation as a `FieldError`."""
    details = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in details["loc"]) or "document"
    value = details.get("input")
    reason = details["msg"].removeprefix("Value error, ")
    if isinstance(value, str | int | float | bool):
        reason = f"{reason}, got {str(value)[:80]!r}"
    return FieldError(field, reason)
