"""Messages between control hosts and the hosts attached to them."""

from dataclasses import dataclass
from typing import Final

from azurerelay.consensus import Entry
from azurerelay.membership._records import EndpointRecord


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A serving host's report that the primary of a group's term seems to be lost."""

    group: str
    term: int
    reason: str


@dataclass(frozen=True, slots=True)
class EndpointAnnouncement:
    """An endpoint's announcement, as a host passes it on to the control hosts.

    `age_ms` is the time since the host received it.
    """

    endpoint: EndpointRecord
    term: int
    position: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """A host's periodic report to the control hosts.

    It renews the lease and carries the applied log index, suspected primaries, groups
    whose registry of idempotency keys is incomplete on the host, and the endpoint
    announcements received since the last heartbeat.
    """

    host: str
    address: str
    failure_domain: str
    incarnation: int
    sequence: int
    applied_index: int
    settings_number: int
    is_draining: bool
    suspicions: tuple[Suspicion, ...]
    unready_groups: tuple[str, ...]
    announcements: tuple[EndpointAnnouncement, ...]


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answer to a heartbeat.

    `lease_ms` counts from the time at which the heartbeat was sent; zero means that no
    lease is granted. `applied_index` is the log index that the leader has applied;
    leaders of earlier builds leave it out.
    """

    host: str
    sequence: int
    lease_ms: int
    applied_index: int = 0


@dataclass(frozen=True, slots=True)
class RelayedHeartbeats:
    """Heartbeats that a follower received and forwards to the leader."""

    heartbeats: tuple[HostHeartbeat, ...]


@dataclass(frozen=True, slots=True)
class RelayedReplies:
    """Replies of the leader that a follower forwards to the hosts attached to it."""

    replies: tuple[HeartbeatReply, ...]


@dataclass(frozen=True, slots=True)
class StateDelta:
    """Consecutive committed entries; the host applies those after its last one."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole cluster state up to a log index, without the audit trail."""

    index: int
    data: bytes


CONTROL_MESSAGES: Final = (
    HostHeartbeat,
    HeartbeatReply,
    RelayedHeartbeats,
    RelayedReplies,
    StateDelta,
    StateSnapshot,
)
