"""Configuration documents: models, canonical JSON and JSON Schema.

The head document is the configuration in force with all proposals, stored
under one key. Docstrings of the models appear in the JSON Schema.
"""

import hashlib
import typing

import pydantic
import rfc8785

from poplarloft.protocol import errors
from poplarloft.protocol import models
from poplarloft import state

__all__ = [
    "BODY_MODEL_OF_KIND",
    "HEAD_KEY",
    "MAX_DOCUMENT_BYTES",
    "canonical_bytes",
    "decode_document",
    "decode_head",
    "document_schema",
    "encode_document",
    "encode_head",
    "proposal_id",
]

HEAD_KEY = "config/head"
MAX_DOCUMENT_BYTES = 1_000_000

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]
HexDigest = typing.Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class OwnerModel(_Model):
    """An owner's share of the engines, rate limit and credentials."""

    share: float = pydantic.Field(gt=0, le=1)
    rate_per_s: float = pydantic.Field(default=1_000.0, gt=0)
    token_digests: tuple[HexDigest, ...] = pydantic.Field(max_length=16)
    operator_digests: tuple[HexDigest, ...] = pydantic.Field(max_length=16)

    def to_state(self) -> state.OwnerBody:
        """Return the equivalent data class of `poplarloft.state`."""
        return state.OwnerBody(**self.model_dump())


class RouteModel(_Model):
    """Settings of a path prefix whose requests go to a service."""

    service: Name
    repeatable: bool = True
    streamed: bool = False
    timeout_ms: int = pydantic.Field(default=30_000, ge=1, le=3_600_000)
    max_body_bytes: int = pydantic.Field(
        default=1_048_576, ge=0, le=67_108_864
    )
    max_attempts: int = pydantic.Field(default=3, ge=1, le=10)

    def to_state(self) -> state.RouteBody:
        """Return the equivalent data class of `poplarloft.state`."""
        return state.RouteBody(**self.model_dump())


class LotModel(_Model):
    """A trainer's order of samples, step by step.

    `staleness_bound` is the largest allowed number of weight versions
    between a sample's oldest token and its trainer. `idle_weight` and
    `staleness_weight` set the relative importance of a busy trainer and
    of fresh samples.
    """

    service: Name
    model: Name
    scorer: Name
    prompts: tuple[
        typing.Annotated[str, pydantic.Field(min_length=1, max_length=65_536)],
        ...,
    ] = pydantic.Field(min_length=1, max_length=10_000)
    groups_per_step: int = pydantic.Field(ge=1, le=4_096)
    samples_per_group: int = pydantic.Field(ge=1, le=1_024)
    steps: int = pydantic.Field(ge=1, le=1_000_000)
    staleness_bound: int = pydantic.Field(ge=0, le=64)
    max_tokens: int = pydantic.Field(default=64, ge=1, le=1_000_000)
    deadline_ms: int = pydantic.Field(default=2_160_000, ge=1_000)
    idle_weight: float = pydantic.Field(default=1.0, ge=0)
    staleness_weight: float = pydantic.Field(default=1.0, ge=0)

    def to_state(self) -> state.LotBody:
        """Return the equivalent data class of `poplarloft.state`."""
        return state.LotBody(**self.model_dump())


class WeightsModel(_Model):
    """The weight version that a model's engines should serve."""

    service: Name
    model: Name
    weight_version: int = pydantic.Field(ge=0)

    def to_state(self) -> state.WeightsBody:
        """Return the equivalent data class of `poplarloft.state`."""
        return state.WeightsBody(**self.model_dump())


class ReleaseModel(_Model):
    """An order to release a fingerprint from quarantine."""

    fingerprint: str = pydantic.Field(pattern=r"^[0-9a-f]{32}$")

    def to_state(self) -> state.ReleaseBody:
        """Return the equivalent data class of `poplarloft.state`."""
        return state.ReleaseBody(**self.model_dump())


class _DocumentModel(_Model):
    owner: Name
    name: Name


class OwnerDocument(_DocumentModel):
    """A document of kind owner."""

    kind: typing.Literal["owner"]
    body: OwnerModel


class RouteDocument(_DocumentModel):
    """A document of kind route."""

    kind: typing.Literal["route"]
    body: RouteModel


class LotDocument(_DocumentModel):
    """A document of kind lot."""

    kind: typing.Literal["lot"]
    body: LotModel


class WeightsDocument(_DocumentModel):
    """A document of kind weights."""

    kind: typing.Literal["weights"]
    body: WeightsModel


class ReleaseDocument(_DocumentModel):
    """A document of kind release."""

    kind: typing.Literal["release"]
    body: ReleaseModel


AnyDocument = typing.Annotated[
    OwnerDocument
    | RouteDocument
    | LotDocument
    | WeightsDocument
    | ReleaseDocument,
    pydantic.Field(discriminator="kind"),
]


class ProposalModel(_Model):
    """A proposal in the head document; see `state.Proposal`."""

    proposal_id: str
    document: AnyDocument
    proposer: str
    accepted_by: tuple[str, ...]
    closes_at_ms: int
    disputed_by: str = ""
    dispute_reason: str = pydantic.Field(default="", max_length=2_000)
    state: state.ProposalState


class HighWaterMarkModel(_Model):
    """The last change that a writer is known to have applied."""

    writer: str
    sequence: int


class HeadModel(_Model):
    """The head document, as stored in the key-value service."""

    revision: int = pydantic.Field(ge=0)
    documents: tuple[AnyDocument, ...] = ()
    proposals: tuple[ProposalModel, ...] = ()
    marks: tuple[HighWaterMarkModel, ...] = ()


_DOCUMENT: pydantic.TypeAdapter[typing.Any] = pydantic.TypeAdapter(AnyDocument)


def decode_document(data: bytes) -> state.Document:
    """Return the document in `data` after validation.

    Raises
    ------
    FieldError
        If a field has an invalid value, or the document is larger than
        `MAX_DOCUMENT_BYTES`.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise errors.FieldError(
            "document",
            f"is {len(data)} bytes, at most {MAX_DOCUMENT_BYTES} allowed",
        )
    try:
        model = _DOCUMENT.validate_json(data)
    except pydantic.ValidationError as error:
        raise models.first_field_error(error) from None
    return _document_to_state(model)


def encode_document(document: state.Document) -> bytes:
    """Return the canonical JSON encoding of a document."""
    return canonical_bytes(_document_to_builtins(document))


def canonical_bytes(value: typing.Any) -> bytes:
    """Return the canonical JSON encoding (RFC 8785) of built-in types."""
    return rfc8785.dumps(value)


def proposal_id(document: state.Document, nonce: str) -> str:
    """Return the identifier of a proposal: a digest of document and nonce."""
    canonical = encode_document(document)
    return hashlib.sha256(canonical + nonce.encode()).hexdigest()[:16]


def document_schema() -> dict[str, typing.Any]:
    """Return the JSON Schema of all kinds of document."""
    return _DOCUMENT.json_schema()


def encode_head(head: state.Configuration) -> bytes:
    """Return the stored format of the head document."""
    values = {
        "revision": head.revision,
        "documents": [_document_to_builtins(d) for d in head.documents],
        "proposals": [_proposal_to_builtins(p) for p in head.proposals],
        "marks": [
            {"writer": mark.writer, "sequence": mark.sequence}
            for mark in head.marks
        ],
    }
    return canonical_bytes(values)


def decode_head(data: bytes) -> state.Configuration:
    """Return the head document in `data`; empty data means revision 0.

    Raises
    ------
    FieldError
        If a field has an invalid value.
    """
    if not data:
        return state.Configuration()
    try:
        model = HeadModel.model_validate_json(data)
    except pydantic.ValidationError as error:
        raise models.first_field_error(error) from None
    return state.Configuration(
        model.revision,
        tuple(_document_to_state(d) for d in model.documents),
        tuple(_proposal_to_state(p) for p in model.proposals),
        tuple(
            state.HighWaterMark(mark.writer, mark.sequence)
            for mark in model.marks
        ),
    )


def _document_to_state(model: typing.Any) -> state.Document:
    return state.Document(
        state.DocumentKind(model.kind),
        model.owner,
        model.name,
        model.body.to_state(),
    )


BODY_MODEL_OF_KIND: dict[state.DocumentKind, type[_Model]] = {
    state.DocumentKind.OWNER: OwnerModel,
    state.DocumentKind.ROUTE: RouteModel,
    state.DocumentKind.LOT: LotModel,
    state.DocumentKind.WEIGHTS: WeightsModel,
    state.DocumentKind.RELEASE: ReleaseModel,
}


def _document_to_builtins(document: state.Document) -> dict[str, typing.Any]:
    body_model = BODY_MODEL_OF_KIND[document.kind]
    body = body_model.model_validate(document.body, from_attributes=True)
    return {
        "kind": document.kind.value,
        "owner": document.owner,
        "name": document.name,
        "body": body.model_dump(mode="json"),
    }


def _proposal_to_builtins(proposal: state.Proposal) -> dict[str, typing.Any]:
    return {
        "proposal_id": proposal.proposal_id,
        "document": _document_to_builtins(proposal.document),
        "proposer": proposal.proposer,
        "accepted_by": list(proposal.accepted_by),
        "closes_at_ms": proposal.closes_at_ms,
        "disputed_by": proposal.disputed_by,
        "dispute_reason": proposal.dispute_reason,
        "state": proposal.state.value,
    }


def _proposal_to_state(model: ProposalModel) -> state.Proposal:
    return state.Proposal(
        model.proposal_id,
        _document_to_state(model.document),
        model.proposer,
        model.accepted_by,
        model.closes_at_ms,
        model.disputed_by,
        model.dispute_reason,
        model.state,
    )
