"""Rules for the next change of the voter set."""

from collections.abc import Iterable
from typing import Final

from azurerelay.consensus import FollowerProgress

MAX_VOTERS: Final = 7  # the largest supported number of control hosts
# Longer than a restart, so that a voter that restarts is not removed.
VOTER_TIMEOUT_MS: Final = 3_000.0
REACHABLE_LIMIT_MS: Final = 1_000.0  # several Raft heartbeats


def host_address(name: str) -> str:
    """Return the link address from the name of a control host, `ADDRESS#DISK`.

    A host that lost its disk keeps its address and gets a new disk identity.
    """
    return name.partition("#")[0]


def next_voters(
    own_name: str,
    voters: frozenset[str],
    followers: Iterable[FollowerProgress],
    max_disk_losses: int,
) -> tuple[frozenset[str], str] | None:
    """Return the next voter set and the reason for the change, or None.

    Each change adds or removes one voter, and is made only if a majority of the new set
    is reachable. A set that has reached `2 * max_disk_losses + 1` voters is kept at
    that size or above, so that a majority holds each entry on one disk more than may be
    lost. It may be one smaller while a voter that has lost its disk is replaced.
    """
    progress = {follower.name: follower for follower in followers}
    target_size = 2 * max_disk_losses + 1
    reachable = {own_name} | {
        name
        for name, follower in progress.items()
        if follower.silence_ms < REACHABLE_LIMIT_MS
    }
    ready_learners = sorted(
        name
        for name, follower in progress.items()
        if not follower.is_voter and follower.has_all_committed and name in reachable
    )
    for learner in ready_learners:
        lost_voters = [
            voter
            for voter in voters
            if host_address(voter) == host_address(learner) and voter != own_name
        ]
        if lost_voters and len(voters) >= target_size:
            smaller = voters - {lost_voters[0]}
            if _has_majority(smaller, reachable):
                return smaller, f"{lost_voters[0]} has lost its disk"
        larger = voters | {learner}
        if len(voters) < MAX_VOTERS and _has_majority(larger, reachable):
            return larger, f"{learner} has replicated all committed entries"
    if len(voters) > target_size:
        silent_voters = [
            (follower.silence_ms, name)
            for name, follower in progress.items()
            if follower.is_voter and follower.silence_ms > VOTER_TIMEOUT_MS
        ]
        if silent_voters:
            name = max(silent_voters)[1]
            if _has_majority(voters - {name}, reachable):
                return (
                    voters - {name},
                    f"{name} is silent and the set is large enough without it",
                )
    return None


def _has_majority(voters: frozenset[str], reachable: set[str]) -> bool:
    return 2 * len(voters & reachable) > len(voters)
