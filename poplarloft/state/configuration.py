"""The configuration in force and the proposals to change it."""

import dataclasses
import enum

__all__ = [
    "Body",
    "Configuration",
    "Document",
    "DocumentKind",
    "HighWaterMark",
    "LotBody",
    "OwnerBody",
    "Proposal",
    "ProposalState",
    "ReleaseBody",
    "RouteBody",
    "WeightsBody",
]


class DocumentKind(enum.StrEnum):
    """Kinds of document that operators can propose."""

    OWNER = "owner"
    ROUTE = "route"
    LOT = "lot"
    WEIGHTS = "weights"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerBody:
    """An owner's share of the engines, rate limit and credentials.

    Parameters
    ----------
    share : float
        Fraction of engine time.
    rate_per_s : float
        Limit on requests per second, over all instances.
    token_digests : tuple of str
        Hex SHA-256 digests of the callers' bearer tokens, of which
        several may be valid at a time.
    operator_digests : tuple of str
        The same for the bearer tokens of the owner's operators.
    """

    share: float
    rate_per_s: float
    token_digests: tuple[str, ...]
    operator_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteBody:
    """Settings of a path prefix whose requests go to a service."""

    service: str
    repeatable: bool = True
    streamed: bool = False
    timeout_ms: int = 30_000
    max_body_bytes: int = 1_048_576
    max_attempts: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LotBody:
    """A trainer's order of samples, step by step.

    Parameters
    ----------
    staleness_bound : int
        Largest allowed number of weight versions between a sample's
        oldest token and its trainer.
    idle_weight, staleness_weight : float
        Relative importance of a busy trainer and of fresh samples; their
        ratio sets how far generation runs ahead of the trainer.
    """

    service: str
    model: str
    scorer: str
    prompts: tuple[str, ...]
    groups_per_step: int
    samples_per_group: int
    steps: int
    staleness_bound: int
    max_tokens: int = 64
    deadline_ms: int = 2_160_000
    idle_weight: float = 1.0
    staleness_weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightsBody:
    """The weight version that a model's engines should serve."""

    service: str
    model: str
    weight_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseBody:
    """An operator's order to release a fingerprint from quarantine."""

    fingerprint: str


Body = OwnerBody | RouteBody | LotBody | WeightsBody | ReleaseBody


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One named part of the configuration, owned by one owner."""

    kind: DocumentKind
    owner: str
    name: str
    body: Body

    @property
    def key(self) -> tuple[DocumentKind, str]:
        """Kind and name, which are unique within a configuration."""
        return (self.kind, self.name)


class ProposalState(enum.StrEnum):
    """Status of a proposal."""

    PENDING = "pending"
    DISPUTED = "disputed"
    IN_FORCE = "in-force"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A document that awaits acceptance by both owners.

    Parameters
    ----------
    proposal_id : str
        Hex digest of the canonical document and a nonce.
    document : Document
        The proposed document.
    proposer : str
        The owner whose operator submitted it.
    accepted_by : tuple of str
        The owners that accepted, including the proposer.
    disputed_by : str
        The owner that disputed it, or empty.
    dispute_reason : str
        Reason given by the disputing operator.
    closes_at_ms : int
        Unix time after which silence counts as acceptance.
    state : ProposalState
        Status of the proposal.
    """

    proposal_id: str
    document: Document
    proposer: str
    accepted_by: tuple[str, ...]
    closes_at_ms: int
    disputed_by: str = ""
    dispute_reason: str = ""
    state: ProposalState = ProposalState.PENDING


@dataclasses.dataclass(frozen=True, slots=True)
class HighWaterMark:
    """The last change that one writer is known to have applied."""

    writer: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The head document: the configuration in force and all proposals.

    Parameters
    ----------
    revision : int
        Increases by one whenever a document comes into force. Instances
        accept only higher revisions.
    documents : tuple of Document
        The documents in force.
    proposals : tuple of Proposal
        Pending proposals, and the most recent closed ones.
    marks : tuple of HighWaterMark
        Last sequence number applied by each recent writer. A writer that
        got no answer reads them to see whether its change took effect.
    """

    revision: int = 0
    documents: tuple[Document, ...] = ()
    proposals: tuple[Proposal, ...] = ()
    marks: tuple[HighWaterMark, ...] = ()

    def find(self, kind: DocumentKind, name: str) -> Document | None:
        """Return the document of a kind and name that is in force, if any."""
        for document in self.documents:
            if document.key == (kind, name):
                return document
        return None

    def of_kind(self, kind: DocumentKind) -> tuple[Document, ...]:
        """Return the documents in force of one kind."""
        return tuple(d for d in self.documents if d.kind is kind)

    def owners(self) -> tuple[str, ...]:
        """Return the names of all owners, sorted."""
        return tuple(sorted(d.name for d in self.of_kind(DocumentKind.OWNER)))
