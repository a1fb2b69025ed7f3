"""What a leader knows of one follower."""

from dataclasses import dataclass


@dataclass(slots=True)
class Peer:
    """Replication progress of one follower, and when it was last heard.

    `learner_round` is the round of the first reply after a follower lost its disk;
    replies to earlier rounds tell of what it no longer has. `told_commit` is how far
    it has been told that what it holds is committed.
    """

    match_index: int = 0
    next_index: int = 1
    acked_round: int = 0
    heard_ms: float = 0.0
    sent_ms: float | None = None
    snapshot_offset: int | None = None
    is_learner: bool = False
    is_promotion_due: bool = False
    learner_round: int = 0
    told_commit: int = 0
