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
    """The kinds of document that operators can propose."""

    OWNER = "owner"
    ROUTE = "route"
    LOT = "lot"
    WEIGHTS = "weights"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerBody:
    """An owner's share, its limits and its callers' credentials.

    `share` is a fraction of engine time; `token_digests` are hex SHA-256
    digests of bearer tokens, of which several may be valid at a time.
    """

    share: float
    rate_per_s: float
    token_digests: tuple[str, ...]
    operator_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RouteBody:
    """A path prefix that leads to a service's upstreams."""

    service: str
    repeatable: bool = True
    streamed: bool = False
    timeout_ms: int = 30_000
    max_body_bytes: int = 1_048_576
    max_attempts: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LotBody:
    """A trainer's order of samples, step by step."""

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
    """An order to release a fingerprint from quarantine."""

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
        """Return what identifies the document in the configuration."""
        return (self.kind, self.name)


class ProposalState(enum.StrEnum):
    """Where a proposal stands."""

    PENDING = "pending"
    DISPUTED = "disputed"
    IN_FORCE = "in-force"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A document that waits for both owners.

    Parameters
    ----------
    proposal_id : str
        Hex digest of the canonical document and its proposer's mark.
    document : Document
        What is proposed.
    proposer : str
        The owner whose operator sent it.
    accepted_by : tuple of str
        The owners that accepted, the proposer included.
    disputed_by : str
        The owner that disputed, or empty.
    dispute_reason : str
        Why, in the disputing operator's words.
    closes_at_ms : int
        Unix time after which silence counts as acceptance.
    state : ProposalState
        Where it stands.
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
    """The head document: what is in force, what is proposed, who wrote.

    `revision` grows by one with each change in force; an instance takes
    only higher revisions. `marks` hold the last sequence applied by each
    recent writer, so that a writer whose answer was lost can find out by
    reading whether its change took effect.
    """

    revision: int = 0
    documents: tuple[Document, ...] = ()
    proposals: tuple[Proposal, ...] = ()
    marks: tuple[HighWaterMark, ...] = ()

    def find(self, kind: DocumentKind, name: str) -> Document | None:
        """Return the document in force of that kind and name."""
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
