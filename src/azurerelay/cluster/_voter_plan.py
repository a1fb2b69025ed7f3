"""Which voter to add or remove next."""

from collections.abc import Iterable
from typing import Final

from azurerelay.consensus import FollowerProgress

MAX_VOTERS: Final = 7  # the most control hosts that the target size allows
# A voter is only replaced once it has been silent for longer than a restart takes.
REPLACE_SILENT_MS: Final = 3_000.0
PRESENT_MS: Final = 1_000.0  # several heartbeats


def host_address(name: str) -> str:
    """Return the link address in a control host's name, which disks share."""
    return name.partition("#")[0]


def next_voters(
    own_name: str,
    voters: frozenset[str],
    followers: Iterable[FollowerProgress],
    disk_losses: int,
) -> tuple[frozenset[str], str] | None:
    """Return the next voter set and the reason; None when all is as it should be.

    Sets change by one voter. The set is kept at `2 * disk_losses + 1` or more, so that
    a majority holds each entry on one disk more than may be lost; it may be one
    smaller while a voter whose disk is known to be lost is replaced.
    """
    known = {follower.name: follower for follower in followers}
    wanted = 2 * disk_losses + 1
    present = {own_name} | {
        name for name, follower in known.items() if follower.silence_ms < PRESENT_MS
    }
    ready = sorted(
        name
        for name, follower in known.items()
        if not follower.is_voter and follower.has_all_committed and name in present
    )
    for learner in ready:
        lost = [
            voter
            for voter in voters
            if host_address(voter) == host_address(learner) and voter != own_name
        ]
        if lost and len(voters) >= wanted:
            smaller = voters - {lost[0]}
            if _has_majority(smaller, present):
                return smaller, f"{lost[0]} has lost its disk"
        larger = voters | {learner}
        if len(voters) < MAX_VOTERS and _has_majority(larger, present):
            return larger, f"{learner} holds all that is committed"
    if len(voters) > wanted:
        silent = [
            (follower.silence_ms, name)
            for name, follower in known.items()
            if follower.is_voter and follower.silence_ms > REPLACE_SILENT_MS
        ]
        if silent:
            name = max(silent)[1]
            if _has_majority(voters - {name}, present):
                return voters - {name}, f"{name} is silent and has been replaced"
    return None


def _has_majority(voters: frozenset[str], present: set[str]) -> bool:
    return 2 * len(voters & present) > len(voters)
