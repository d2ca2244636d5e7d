"""Parts shared by the validated models of settings and documents."""

import typing

import pydantic

from poplarloft.protocol import addresses
from poplarloft.protocol import errors

__all__ = ["AddressText", "first_field_error"]


def _check_address(text: str) -> str:
    """Return `text` if it is an address that can be parsed."""
    addresses.parse_address(text)
    return text


def first_field_error(error: pydantic.ValidationError) -> errors.FieldError:
    """Return the first error of a failed validation as a `FieldError`."""
    details = error.errors(include_url=False)[0]
    field = ".".join(str(part) for part in details["loc"]) or "document"
    value = details.get("input")
    reason = details["msg"].removeprefix("Value error, ")
    if isinstance(value, str | int | float | bool):
        reason = f"{reason}, got {str(value)[:80]!r}"
    return errors.FieldError(field, reason)


AddressText = typing.Annotated[str, pydantic.AfterValidator(_check_address)]
