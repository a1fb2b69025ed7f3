"""Messages and stored records of the replicated log.

The protocol follows Ongaro and Ousterhout, "In Search of an Understandable
Consensus Algorithm" (2014), with the pre-vote phase of Ongaro's thesis.
"""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; `payload` is an encoded command, empty for a new leader.

    An entry with `voters` changes the voter set as soon as it is in a log.
    """

    index: int
    term: int
    payload: bytes
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HardState:
    """The term and the vote, which must be durable before any answer.

    `is_voter` is set once this disk is known to hold all that it ever promised.
    """

    term: int
    voted_for: str | None
    is_voter: bool


@dataclass(frozen=True, slots=True)
class SnapshotMark:
    """The last entry that a snapshot covers, its length in bytes and its voters.

    `voters` is empty where the voter set never changed.
    """

    index: int
    term: int
    length: int
    voters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Ask for a vote; with `is_pre_vote`, only whether one would be given."""

    term: int
    is_pre_vote: bool
    last_index: int
    last_term: int


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer a vote request of the same term and phase."""

    term: int
    is_pre_vote: bool
    is_granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicate entries after `previous_index`; without entries, a heartbeat."""

    term: int
    round: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer an append: `match_index` on success, else where to go on from."""

    term: int
    round: int
    is_success: bool
    match_index: int
    is_learner: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot, for a follower whose next entry is compacted."""

    term: int
    round: int
    mark: SnapshotMark
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The number of snapshot bytes received; the mark's length when installed."""

    term: int
    round: int
    index: int
    received: int
    is_learner: bool = False


@dataclass(frozen=True, slots=True)
class FreshnessProbe:
    """Ask a voter whether it has ever taken part, before voting for the first time."""

    is_fresh: bool


@dataclass(frozen=True, slots=True)
class FreshnessReply:
    """Tell that a voter has no entries and no term."""

    is_fresh: bool


@dataclass(frozen=True, slots=True)
class LearnerPromotion:
    """Tell a learner that holds all up to an index that it may vote again."""

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
