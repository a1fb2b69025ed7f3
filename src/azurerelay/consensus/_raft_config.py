"""The timing and sizes of the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Intervals in milliseconds, batch sizes in entries and bytes.

    With `has_dynamic_voters`, a voter's name is that of its disk: who lost a disk
    comes back under another name, joins as a learner and is made a voter by an
    entry of the log. Otherwise the voters are fixed, and one that finds its disk
    empty learns under its old name.

    The first election after a start waits less, up to `first_election_max_ms`, and
    each further one twice as long until a leader is heard: voters that hear a leader
    deny the pre-vote, so a needless one disturbs nobody.

    With `announces_commits`, followers learn of a commit at once and not with the
    next heartbeat, for a message to each.
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
