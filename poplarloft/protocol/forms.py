"""Forms of the console: fields of a document kind, and their parsing."""

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

    `control` is the kind of input: text, number, checkbox or lines, a text
    area with one value per line.
    """

    name: str
    control: str
    value: str
    required: bool


@dataclasses.dataclass(frozen=True)
class FormResult:
    """The document of a form, or the errors by field name."""

    document: state.Document | None
    field_errors: dict[str, str]


def parse_form(body: bytes) -> dict[str, str]:
    """Return the fields of a submitted form.

    Of a field that occurs several times, the last value is used.

    Raises
    ------
    FieldError
        If the body is not a URL-encoded form or has over `MAX_FIELDS` fields.
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
    """Return the fields of a document kind's form.

    They are filled with `values`, or with the defaults if it is None.
    """
    fields = [FormField("name", "text", (values or {}).get("name", ""), True)]
    for name, info in _body_model(kind).model_fields.items():
        control = _control(info)
        value = "" if info.is_required() else str(info.default)
        if values is not None:
            value = values.get(name, "")
        elif control == "checkbox":
            value = "on" if info.default else ""
        fields.append(FormField(name, control, value, info.is_required()))
    return fields


def document_from_form(
    kind: state.DocumentKind, owner: str, values: dict[str, str]
) -> FormResult:
    """Return the document that a form describes, or its errors."""
    body = {}
    for field in form_fields(kind, values)[1:]:
        body[field.name] = _json_value(field)
    content = {
        "kind": kind.value,
        "owner": owner,
        "name": values.get("name", ""),
        "body": body,
    }
    try:
        document = documents.decode_document(json.dumps(content).encode())
    except errors.FieldError as error:
        path = error.field.split(".")
        known_parts = [part for part in path if part in (*body, "name")]
        return FormResult(None, {(known_parts or ["form"])[0]: error.reason})
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


def _json_value(field: FormField) -> object:
    """Return a field's value as the type that its document has in JSON."""
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
