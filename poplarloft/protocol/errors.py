"""Exceptions of the border: input that can't be accepted."""

import pydantic

__all__ = ["FieldError", "ProtocolError", "first_field_error"]


class ProtocolError(ValueError):
    """Input that breaks a format; the message names what was expected."""


class FieldError(ProtocolError):
    """One field with a value that is not allowed.

    Parameters
    ----------
    field : str
        Dotted path of the field.
    reason : str
        What is wrong with its value and what is allowed.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field = field
        self.reason = reason


def first_field_error(error: pydantic.ValidationError) -> FieldError:
    """Return the first failure of a validation as one `FieldError`."""
    failure = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in failure["loc"]) or "document"
    value = failure.get("input")
    reason = failure["msg"].removeprefix("Value error, ")
    if isinstance(value, str | int | float | bool):
        reason = f"{reason}, got {str(value)[:80]!r}"
    return FieldError(field, reason)
