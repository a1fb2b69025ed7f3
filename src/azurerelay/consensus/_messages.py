"""Messages and stored records of the replicated log.

The protocol follows Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm" (2014), with the pre-vote phase of Ongaro's thesis.
"""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; `payload` is an encoded command.

    The payload is empty in the entry that a new leader appends to commit entries of
    earlier terms, and in one that changes the voter set. An entry with `voters` is in
    force on a host as soon as it is in its log, before it is committed.
    """

    index: int
    term: int
    payload: bytes
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HardState:
    """The current term and vote, which must be durable before a reply depends on them.

    `is_voter` is set once the disk is known to hold every vote and entry that the
    host has acknowledged; a host with an empty disk may have lost some.
    """

    term: int
    voted_for: str | None
    is_voter: bool


@dataclass(frozen=True, slots=True)
class SnapshotMark:
    """Metadata of a snapshot: the last entry it covers and its length in bytes.

    `voters` is the voter set at that entry; if empty, the initial set applies.
    """

    index: int
    term: int
    length: int
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote; with `is_pre_vote`, ask only whether it would be granted."""

    term: int
    is_pre_vote: bool
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a vote request of the same phase.

    `term` is the term of the request if the vote is granted, else the voter's own.
    """

    term: int
    is_pre_vote: bool
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries to store after `previous_index`; without entries, a heartbeat.

    `round` numbers the leader's broadcasts: a reply to a round shows that the follower
    accepted the leader after that broadcast was sent.
    """

    term: int
    round: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to an append request.

    On success, `match_index` is the last index known to match the leader's log; on a
    log mismatch, it is the next index to send; zero if the request's term is stale.
    """

    term: int
    round: int
    is_success: bool
    match_index: int
    is_learner: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """Part of a snapshot, for a follower whose next entry the leader has compacted.

    `offset` is the position of `data` in the snapshot, in bytes.
    """

    term: int
    round: int
    mark: SnapshotMark
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Answer to a snapshot chunk.

    `received` is the number of snapshot bytes received so far, which is the whole
    length once the snapshot is installed; `index` is the last index it covers.
    """

    term: int
    round: int
    index: int
    received: int
    is_learner: bool = False


@dataclass(frozen=True, slots=True)
class FreshnessProbe:
    """Ask a voter whether it has any state, before voting for the first time.

    `is_fresh` tells whether the sender has none.
    """

    is_fresh: bool


@dataclass(frozen=True, slots=True)
class FreshnessReply:
    """Answer to a probe: `is_fresh` if the voter is in term zero with an empty log."""

    is_fresh: bool


@dataclass(frozen=True, slots=True)
class LearnerPromotion:
    """Allow a learner to vote, provided that its log reaches `index`."""

    term: int
    index: int


CONSENSUS_MESSAGES: Final = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    FreshnessProbe,
    FreshnessReply,
    LearnerPromotion,
)
