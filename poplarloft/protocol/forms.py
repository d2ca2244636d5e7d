"""Console forms: fields of a document kind, and documents from fields."""

import dataclasses
import json
import typing
import urllib.parse

import pydantic

from poplarloft.protocol import documents
from poplarloft.protocol import errors
from poplarloft import state

__all__ = [
    "FormField",
    "FormResult",
    "document_from_form",
    "form_fields",
    "parse_form",
]

MAX_FIELDS = 100


@dataclasses.dataclass(frozen=True)
class FormField:
    """One field of a form.

    `control` is one of text, number, checkbox and lines.
    """

    name: str
    control: str
    value: str
    required: bool


@dataclasses.dataclass(frozen=True)
class FormResult:
    """A document, or the error of each field that is wrong."""

    document: state.Document | None
    field_errors: dict[str, str]


def parse_form(body: bytes) -> dict[str, str]:
    """Return the fields of a form; of repeated ones the last counts.

    Raises
    ------
    FieldError
        If the body is no form.
    """
    try:
        pairs = urllib.parse.parse_qsl(
            body.decode(), keep_blank_values=True, max_num_fields=MAX_FIELDS
        )
    except ValueError as error:
        raise errors.FieldError("form", str(error)) from None
    return dict(pairs)


def form_fields(
    kind: state.DocumentKind, values: dict[str, str] | None = None
) -> list[FormField]:
    """Return the fields of a kind's form, filled with `values`."""
    fields = [FormField("name", "text", (values or {}).get("name", ""), True)]
    for name, info in _body_model(kind).model_fields.items():
        control = _control(info)
        filled = "" if info.is_required() else str(info.default)
        if values is not None:
            filled = values.get(name, "")
        elif control == "checkbox":
            filled = "on" if info.default else ""
        fields.append(FormField(name, control, filled, info.is_required()))
    return fields


def document_from_form(
    kind: state.DocumentKind, owner: str, values: dict[str, str]
) -> FormResult:
    """Return the document that a form produces, or its errors."""
    body = {}
    for field in form_fields(kind, values)[1:]:
        body[field.name] = _plain_value(field)
    plain = {
        "kind": kind.value,
        "owner": owner,
        "name": values.get("name", ""),
        "body": body,
    }
    try:
        document = documents.decode_document(json.dumps(plain).encode())
    except errors.FieldError as error:
        path = error.field.split(".")
        known = [part for part in path if part in (*body, "name")]
        return FormResult(None, {(known or ["form"])[0]: error.reason})
    return FormResult(document, {})


def _body_model(kind: state.DocumentKind) -> type[pydantic.BaseModel]:
    return documents.BODY_MODEL_OF_KIND[kind]


def _control(info: pydantic.fields.FieldInfo) -> str:
    if info.annotation is bool:
        return "checkbox"
    if info.annotation in (int, float):
        return "number"
    if typing.get_origin(info.annotation) is tuple:
        return "lines"
    return "text"


def _plain_value(field: FormField) -> object:
    """Return a field's value as JSON would carry it."""
    match field.control:
        case "checkbox":
            return field.value == "on"
        case "lines":
            return [line for line in field.value.splitlines() if line.strip()]
        case "number":
            try:
                return json.loads(field.value)
            except ValueError:
                return field.value
    return field.value
