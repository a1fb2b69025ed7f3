"""Replication status of one follower, as the leader reports it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FollowerProgress:
    """Replication status of a voter or learner.

    `has_all_committed` tells whether it holds every committed entry; `silence_ms` is
    the time since its last reply.
    """

    name: str
    is_voter: bool
    has_all_committed: bool
    silence_ms: float
