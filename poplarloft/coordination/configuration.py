"""Decisions on the configuration: propose, accept, dispute, put in force.

The head is the document that holds the configuration in force and the
proposals. Changes are pure functions from one head to the next. `HeadWriter`
applies a change by compare-and-swap and tolerates lost replies;
`HeadFollower` accepts only higher revisions.
"""

from collections import abc
import dataclasses
import enum

from returns import result

from poplarloft import state

__all__ = [
    "Change",
    "ChangeResult",
    "HeadFollower",
    "HeadWriter",
    "ReadHead",
    "WriteDone",
    "WriteHead",
    "accept",
    "dispute",
    "propose",
    "put_due_in_force",
    "withdraw",
]

MAX_MARKS = 32
MAX_CLOSED_PROPOSALS = 64

ChangeResult = result.Result[state.Configuration, state.Refusal]
Change = abc.Callable[[state.Configuration], ChangeResult]


def propose(
    head: state.Configuration,
    document: state.Document,
    proposer: str,
    proposal_id: str,
    closes_at_ms: int,
) -> ChangeResult:
    """Add a proposal, which its proposer accepts implicitly.

    A proposal that all owners have accepted comes into force at once.
    If the identifier exists already, the head is returned unchanged.

    Returns
    -------
    ChangeResult
        The next head, or the reason for the refusal.
    """
    if proposer not in head.owners():
        return _refuse(f"owner {proposer!r} does not exist")
    if document.owner != proposer:
        return _refuse(
            f"document {document.name!r} belongs to owner "
            f"{document.owner!r}, not to {proposer!r}"
        )
    in_force = head.find(document.kind, document.name)
    if in_force is not None and in_force.owner != proposer:
        return _refuse(
            f"{document.kind} {document.name!r} belongs to owner "
            f"{in_force.owner!r}"
        )
    if any(p.proposal_id == proposal_id for p in head.proposals):
        return result.Success(head)
    proposal = state.Proposal(
        proposal_id, document, proposer, (proposer,), closes_at_ms
    )
    added = _with_proposal(head, proposal)
    return result.Success(_put_in_force_if_agreed(added, proposal))


def accept(
    head: state.Configuration, proposal_id: str, owner: str
) -> ChangeResult:
    """Record an acceptance; the last owner's puts it in force."""
    return _update_pending(
        head,
        proposal_id,
        owner,
        lambda p: dataclasses.replace(
            p, accepted_by=tuple(sorted({*p.accepted_by, owner}))
        ),
    )


def dispute(
    head: state.Configuration, proposal_id: str, owner: str, reason: str
) -> ChangeResult:
    """Dispute a pending proposal, which keeps it from coming into force."""
    if not reason.strip():
        return _refuse("reason is empty, expected why the owner disputes")
    return _update_pending(
        head,
        proposal_id,
        owner,
        lambda p: dataclasses.replace(
            p,
            state=state.ProposalState.DISPUTED,
            disputed_by=owner,
            dispute_reason=reason,
        ),
    )


def withdraw(
    head: state.Configuration, proposal_id: str, owner: str
) -> ChangeResult:
    """Withdraw a pending or disputed proposal on behalf of its proposer."""
    proposal = _find(head, proposal_id)
    if proposal is not None and proposal.proposer != owner:
        return _refuse(
            f"proposal {proposal_id} was made by {proposal.proposer!r}, "
            f"not by {owner!r}"
        )
    if proposal and proposal.state is state.ProposalState.DISPUTED:
        withdrawn = dataclasses.replace(
            proposal, state=state.ProposalState.WITHDRAWN
        )
        return result.Success(_with_proposal(head, withdrawn))
    return _update_pending(
        head,
        proposal_id,
        owner,
        lambda p: dataclasses.replace(p, state=state.ProposalState.WITHDRAWN),
    )


def put_due_in_force(head: state.Configuration, now_ms: int) -> ChangeResult:
    """Put in force the pending proposals whose dispute window has closed.

    Parameters
    ----------
    head : state.Configuration
        The head document.
    now_ms : int
        Unix time in milliseconds.
    """
    due = [
        p
        for p in head.proposals
        if p.state is state.ProposalState.PENDING and p.closes_at_ms <= now_ms
    ]
    due.sort(key=lambda p: (p.closes_at_ms, p.proposal_id))
    for proposal in due:
        head = _put_in_force(head, proposal)
    return result.Success(head)


def _update_pending(
    head: state.Configuration,
    proposal_id: str,
    owner: str,
    update: abc.Callable[[state.Proposal], state.Proposal],
) -> ChangeResult:
    proposal = _find(head, proposal_id)
    if proposal is None:
        return _refuse(f"proposal {proposal_id!r} does not exist")
    if owner not in head.owners():
        return _refuse(f"owner {owner!r} does not exist")
    if proposal.state is not state.ProposalState.PENDING:
        return _refuse(f"proposal {proposal_id} is already {proposal.state}")
    updated = update(proposal)
    changed = _with_proposal(head, updated)
    return result.Success(_put_in_force_if_agreed(changed, updated))


def _put_in_force_if_agreed(
    head: state.Configuration, proposal: state.Proposal
) -> state.Configuration:
    if proposal.state is not state.ProposalState.PENDING:
        return head
    if set(head.owners()) <= set(proposal.accepted_by):
        return _put_in_force(head, proposal)
    return head


def _put_in_force(
    head: state.Configuration, proposal: state.Proposal
) -> state.Configuration:
    document = proposal.document
    kept = tuple(d for d in head.documents if d.key != document.key)
    documents = tuple(
        sorted((*kept, document), key=lambda d: (d.kind, d.name))
    )
    done = dataclasses.replace(proposal, state=state.ProposalState.IN_FORCE)
    changed = dataclasses.replace(
        head, revision=head.revision + 1, documents=documents
    )
    return _with_proposal(changed, done)


def _with_proposal(
    head: state.Configuration, proposal: state.Proposal
) -> state.Configuration:
    """Return `head` with one proposal added or replaced.

    All pending proposals are kept, and the newest of the closed ones.
    """
    others = [
        p for p in head.proposals if p.proposal_id != proposal.proposal_id
    ]
    proposals = [*others, proposal]
    closed = [
        p for p in proposals if p.state is not state.ProposalState.PENDING
    ]
    dropped = {p.proposal_id for p in closed[:-MAX_CLOSED_PROPOSALS]}
    kept = tuple(p for p in proposals if p.proposal_id not in dropped)
    return dataclasses.replace(head, proposals=kept)


def _find(
    head: state.Configuration, proposal_id: str
) -> state.Proposal | None:
    for proposal in head.proposals:
        if proposal.proposal_id == proposal_id:
            return proposal
    return None


def _refuse(detail: str) -> ChangeResult:
    return result.Failure(
        state.Refusal(state.Reason.CONFLICT, state.Verdict.NOT_RUN, detail)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Action: read the head document, then call `on_read`."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteHead:
    """Action: compare and swap the head document, then call `on_write`."""

    head: state.Configuration
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteDone:
    """Action: report the outcome, which holds the head if successful."""

    outcome: ChangeResult


class _WriterPhase(enum.Enum):
    READING = "reading"
    WRITING = "writing"
    DONE = "done"


class HeadWriter:
    """Applies one change to the head document.

    The head stores the mark of the change. After a lost reply the mark
    shows whether the write took effect, even if others wrote since.

    Parameters
    ----------
    change : Change
        The change as a function of the head.
    mark : state.HighWaterMark
        The writer and its next sequence number.
    """

    def __init__(self, change: Change, mark: state.HighWaterMark) -> None:
        self.change = change
        self.mark = mark
        self.phase = _WriterPhase.READING

    def start(self) -> ReadHead:
        """Return the first action."""
        return ReadHead()

    def on_read(
        self, head: state.Configuration, version: int
    ) -> WriteHead | WriteDone:
        """Apply the change, unless the head that was read already holds it."""
        if self._has_mark(head):
            return self._done(result.Success(head))
        changed = self.change(head)
        match changed:
            case result.Success(next_head):
                if next_head == head:
                    return self._done(changed)
                self.phase = _WriterPhase.WRITING
                return WriteHead(self._marked(next_head), version)
            case _:
                return self._done(changed)

    def on_write(
        self, outcome: state.WriteOutcome, written: state.Configuration
    ) -> ReadHead | WriteDone:
        """Finish if `written` was applied; otherwise read the head again."""
        if outcome is state.WriteOutcome.APPLIED:
            return self._done(result.Success(written))
        self.phase = _WriterPhase.READING
        return ReadHead()

    def _done(self, outcome: ChangeResult) -> WriteDone:
        self.phase = _WriterPhase.DONE
        return WriteDone(outcome)

    def _has_mark(self, head: state.Configuration) -> bool:
        return any(
            m.writer == self.mark.writer and m.sequence >= self.mark.sequence
            for m in head.marks
        )

    def _marked(self, head: state.Configuration) -> state.Configuration:
        others = [m for m in head.marks if m.writer != self.mark.writer]
        kept = others[-(MAX_MARKS - 1) :]
        return dataclasses.replace(head, marks=(*kept, self.mark))


class HeadFollower:
    """The configuration in force at one instance.

    `current` is None until a first revision is received from the
    platform, from a peer or from a snapshot.
    """

    def __init__(self) -> None:
        self.current: state.Configuration | None = None

    @property
    def revision(self) -> int:
        """Revision in force at this instance, or -1 if there is none."""
        return -1 if self.current is None else self.current.revision

    def offer(self, head: state.Configuration) -> bool:
        """Adopt a head of a higher revision; return whether it was adopted."""
        if head.revision <= self.revision:
            return False
        self.current = head
        return True
