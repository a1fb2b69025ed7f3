"""When a group needs another primary, and which endpoint it should be."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.statements import Position

# Half of the entry hosts with a connection must miss the leader: fewer may be cut off
# themselves.
SUSPECT_SHARE: Final = 0.5
SUSPECT_MS: Final = 300.0
# Heartbeats missed in a row before silence alone counts against a leader.
MISSED_HEARTBEATS: Final = 3.0
CANDIDATE_MISSED_HEARTBEATS: Final = 3.5


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """What the leader of control knows of a group's primary.

    `judging_hosts` is how many entry hosts can tell whether it answers.
    """

    primary: Announcement | None
    primary_silence_ms: float
    suspecting_hosts: int
    longest_suspicion_ms: float
    judging_hosts: float


def promotion_reason(health: GroupHealth, heartbeat_ms: float) -> str | None:
    """Return why another primary is needed, or None.

    Answers crashed, dark and departing primaries. A primary that only control, or
    only a few hosts, cannot reach stays: replacing it would drop its newest commits.
    """
    if health.primary is None:
        return "no endpoint says that it leads"
    if health.primary.is_draining:
        return "the primary is draining"
    needed = max(1.0, SUSPECT_SHARE * health.judging_hosts)
    is_suspect = (
        health.suspecting_hosts >= needed and health.longest_suspicion_ms >= SUSPECT_MS
    )
    if is_suspect:
        return (
            f"{health.suspecting_hosts} of {health.judging_hosts:.0f} connected entry "
            "hosts get no answer from the primary"
        )
    is_silent = health.primary_silence_ms > MISSED_HEARTBEATS * heartbeat_ms
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
    """Return the endpoints that may be promoted."""
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
    """Return the endpoint whose log holds most; ties go to the first by name."""
    if not received:
        return None
    return min(
        received, key=lambda name: (-received[name].term, -received[name].number, name)
    )
