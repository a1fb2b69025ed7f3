"""Rules for when a group needs a new primary and which endpoint to promote."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.statements import Position

# At least half of the entry hosts with a connection must suspect the primary: a smaller
# number may be on the wrong side of a network partition.
SUSPECTING_HOSTS_SHARE: Final = 0.5
MIN_SUSPICION_MS: Final = 300.0
# A primary that control knows to be alive is replaced only if half of the hosts have
# had no answer over open connections for this long. A full link delays answers, too.
MIN_SUSPICION_OF_LIVE_PRIMARY_MS: Final = 1_000.0
# A primary that was silent for longer than this many heartbeat intervals has missed a
# heartbeat.
MISSED_HEARTBEAT: Final = 1.25
# A primary that has been silent for longer than this many heartbeat intervals is
# replaced even if only this share of the entry hosts suspects it.
PRIMARY_MISSED_HEARTBEATS: Final = 3.0
SUSPECTING_HOSTS_SHARE_IF_SILENT: Final = 0.1
# An endpoint that has been silent for this many heartbeat intervals is not promoted.
CANDIDATE_MISSED_HEARTBEATS: Final = 3.5

_ALIVE: Final = (PrimaryContact.PROVEN, PrimaryContact.ANSWERED)
_LOST: Final = (
    PrimaryContact.SILENT,
    PrimaryContact.UNREACHABLE,
    PrimaryContact.DENIED,
)


@dataclass(frozen=True, slots=True)
class Suspicions:
    """How many entry hosts get no answer from a primary, and the longest such time."""

    hosts: int = 0
    longest_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """What the control leader knows about the primary of a group.

    `primary` is the endpoint with the newest claim to be the primary, if any.
    `primary_silence_ms` is the time since its last heartbeat. `suspicions` are those of
    all entry hosts, and `certain_suspicions` those of hosts that had a connection to it
    or found that nothing listens at its address; the others could not connect, which
    may only mean that too many hosts connect at once. `contact` is the outcome of the
    leader's own attempt to reach it. `observing_hosts` is the expected number of entry
    hosts that have a connection to it.
    """

    primary: Announcement | None
    primary_silence_ms: float
    suspicions: Suspicions
    certain_suspicions: Suspicions
    contact: PrimaryContact
    observing_hosts: float


def promotion_reason(health: GroupHealth, heartbeat_ms: float) -> str | None:
    """Return the reason to replace the primary, or None if it should stay.

    Covers primaries that crashed, stopped answering or are draining. A primary that
    only control hosts or only a few entry hosts cannot reach stays, because replacing
    it would lose its newest commits. So does one that is crowded: after a loss of power
    all hosts connect at once, and each needless promotion would start the next crowd.
    """
    if health.primary is None:
        return "no endpoint says that it leads"
    if health.primary.is_draining:
        return "the primary is draining"
    unreachable = _unreachable_reason(health, heartbeat_ms)
    if unreachable is not None:
        return unreachable
    is_silent = health.primary_silence_ms > PRIMARY_MISSED_HEARTBEATS * heartbeat_ms
    needed = max(1.0, SUSPECTING_HOSTS_SHARE_IF_SILENT * health.observing_hosts)
    is_reachable = health.contact is PrimaryContact.PROVEN
    if is_silent and not is_reachable and health.suspicions.hosts >= needed:
        return (
            f"the primary was silent for {health.primary_silence_ms:.0f} ms and "
            f"{health.suspicions.hosts} entry hosts get no answer from it"
        )
    return None


def _unreachable_reason(health: GroupHealth, heartbeat_ms: float) -> str | None:
    """Return a reason if at least half of the connected entry hosts suspect a primary.

    How long they must suspect it, and whether it counts that a host could not connect,
    depends on what control itself hears from the primary.
    """
    suspicions, certain = health.suspicions, health.certain_suspicions
    has_reported_since = health.primary_silence_ms < suspicions.longest_ms
    has_missed_heartbeat = health.primary_silence_ms > MISSED_HEARTBEAT * heartbeat_ms
    if health.contact in _ALIVE:
        counted, min_ms = certain, MIN_SUSPICION_OF_LIVE_PRIMARY_MS
    elif health.contact in _LOST or has_missed_heartbeat:
        counted, min_ms = suspicions, MIN_SUSPICION_MS
    elif has_reported_since:
        counted, min_ms = certain, MIN_SUSPICION_OF_LIVE_PRIMARY_MS
    else:
        counted, min_ms = certain, MIN_SUSPICION_MS
    needed = max(1.0, SUSPECTING_HOSTS_SHARE * health.observing_hosts)
    if counted.hosts < needed or counted.longest_ms < min_ms:
        return None
    return (
        f"{counted.hosts} of {health.observing_hosts:.0f} connected entry hosts get no "
        f"answer from the primary; control found it {health.contact.value}"
    )


def may_acknowledge_commits(health: GroupHealth) -> bool:
    """Return whether the primary may acknowledge commits at this moment.

    A primary that is silent may only be cut off from control. One that crashed may
    acknowledge commits again as soon as it has started.
    """
    return health.contact not in (PrimaryContact.UNREACHABLE, PrimaryContact.DENIED)


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


@dataclass(frozen=True, slots=True)
class CommitHolders:
    """The endpoints of a group that may hold acknowledged commits.

    `names` includes endpoints that are silent, draining or have departed.
    `has_primary` tells whether the primary that acknowledged the commits is one of
    them.
    """

    names: frozenset[str]
    has_primary: bool


def commit_holders(directory: EndpointDirectory, group: str) -> CommitHolders:
    """Return the endpoints of a group that may hold acknowledged commits."""
    members = directory.group(group) + directory.former_members.group(group)
    return CommitHolders(
        frozenset(member.endpoint for member in members),
        any(member.is_primary for member in members),
    )


def required_answers(holders: CommitHolders, synchronous_replicas: int) -> int:
    """Return how many endpoints must state what they have received.

    The number is such that at least one of them has every acknowledged commit. The
    primary and `synchronous_replicas` others have received it.
    """
    if synchronous_replicas == 0:
        return 1
    copies = synchronous_replicas + (1 if holders.has_primary else 0)
    return max(1, len(holders.names) - copies + 1)


def most_advanced(
    received: Mapping[str, Position], draining: Collection[str] = ()
) -> str | None:
    """Return the endpoint with the highest position, or None if there is none.

    Of endpoints at the same position, the first by name is returned, and a draining
    one only if there is no other.
    """
    if not received:
        return None
    highest = max(received.values())
    return min(
        (name for name, position in received.items() if position == highest),
        key=lambda name: (name in draining, name),
    )
