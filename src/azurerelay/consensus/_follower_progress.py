"""What a leader tells others of one follower."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FollowerProgress:
    """Whether a follower votes and holds all that is committed; its silence."""

    name: str
    is_voter: bool
    has_all_committed: bool
    silence_ms: float
