"""Rules for when a group needs a new primary and which endpoint to promote."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.statements import Position

# At least half of the entry hosts with a connection must suspect the primary: a smaller
# number may be on the wrong side of a network partition.
SUSPECTING_HOSTS_SHARE: Final = 0.5
MIN_SUSPICION_MS: Final = 300.0
# A primary that has been silent for longer than this many heartbeat intervals is
# replaced even if only one entry host suspects it.
PRIMARY_MISSED_HEARTBEATS: Final = 3.0
# An endpoint that has been silent for this many heartbeat intervals is not promoted.
CANDIDATE_MISSED_HEARTBEATS: Final = 3.5


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """What the control leader knows about the primary of a group.

    `primary` is the endpoint with the newest claim to be the primary, if any.
    `primary_silence_ms` is the time since its last heartbeat. `suspecting_hosts` counts
    the entry hosts that get no answer from it, and `longest_suspicion_ms` is the
    longest time for which one of them has got none. `observing_hosts` is the expected
    number of entry hosts that have a connection to it.
    """

    primary: Announcement | None
    primary_silence_ms: float
    suspecting_hosts: int
    longest_suspicion_ms: float
    observing_hosts: float


def promotion_reason(health: GroupHealth, heartbeat_ms: float) -> str | None:
    """Return the reason to replace the primary, or None if it should stay.

    Covers primaries that crashed, stopped answering or are draining. A primary that
    only control hosts or only a few entry hosts cannot reach stays, because replacing
    it would lose its newest commits.
    """
    if health.primary is None:
        return "no endpoint says that it leads"
    if health.primary.is_draining:
        return "the primary is draining"
    needed = max(1.0, SUSPECTING_HOSTS_SHARE * health.observing_hosts)
    is_suspect = (
        health.suspecting_hosts >= needed
        and health.longest_suspicion_ms >= MIN_SUSPICION_MS
    )
    if is_suspect:
        return (
            f"{health.suspecting_hosts} of {health.observing_hosts:.0f} connected "
            "entry hosts get no answer from the primary"
        )
    is_silent = health.primary_silence_ms > PRIMARY_MISSED_HEARTBEATS * heartbeat_ms
    if is_silent and health.suspecting_hosts > 0:
        return (
            f"the primary was silent for {health.primary_silence_ms:.0f} ms and "
            f"{health.suspecting_hosts} entry hosts get no answer from it"
        )
    return None


def candidates(
    directory: EndpointDirectory,
    group: str,
    failed: Iterable[str],
    heartbeat_ms: float,
    now_ms: float,
) -> tuple[Announcement, ...]:
    """Return the endpoints of a group that may be promoted, without the failed ones."""
    excluded = set(failed)
    return tuple(
        endpoint
        for endpoint in directory.group(group)
        if endpoint.endpoint not in excluded
        and not endpoint.is_draining
        and directory.silence_ms(endpoint.endpoint, now_ms)
        < CANDIDATE_MISSED_HEARTBEATS * heartbeat_ms
    )


def most_advanced(received: dict[str, Position]) -> str | None:
    """Return the endpoint with the highest position, or None if there is none.

    Of endpoints at the same position, the first by name is returned.
    """
    if not received:
        return None
    return min(
        received, key=lambda name: (-received[name].term, -received[name].number, name)
    )
