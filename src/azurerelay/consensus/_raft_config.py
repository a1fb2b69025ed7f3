"""Configuration of a Raft node."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Intervals in milliseconds, batch sizes in entries and bytes.

    With `has_dynamic_voters`, a voter's name identifies its disk: a host that lost
    its disk returns under a new name, joins as a learner and becomes a voter by an
    entry of the log. Otherwise the voter set is fixed, and a voter that finds its
    disk empty keeps its name and is a learner until the leader promotes it.

    After a start, the election timeout is at most `first_election_max_ms`, and this
    limit doubles with each timeout until a leader is heard. An election that starts
    too early is harmless, since voters that hear from a leader deny the pre-vote.

    With `announces_commits`, the leader sends the new commit index to each follower
    at once, at the cost of one more message to each, instead of with the next append
    or heartbeat.

    Entries that are not acknowledged within `resend_ms` are sent again, and a snapshot
    is taken every `snapshot_entries` applied entries.
    """

    heartbeat_ms: float = 50.0
    election_min_ms: float = 250.0
    election_max_ms: float = 500.0
    first_election_max_ms: float = 500.0
    resend_ms: float = 150.0
    batch_entries: int = 256
    chunk_bytes: int = 256 * 1024
    snapshot_entries: int = 1000
    has_dynamic_voters: bool = False
    announces_commits: bool = False
