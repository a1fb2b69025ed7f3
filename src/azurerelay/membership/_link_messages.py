"""Messages between control hosts and the hosts attached to them."""

from dataclasses import dataclass
from typing import Final

from azurerelay.consensus import Entry
from azurerelay.membership._records import EndpointRecord


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A serving host's finding that a group's primary of a term is lost."""

    group: str
    term: int
    reason: str


@dataclass(frozen=True, slots=True)
class EndpointAnnouncement:
    """An endpoint's announcement as passed on to control, with its age."""

    endpoint: EndpointRecord
    term: int
    position: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """A host's sign of life: what it has applied, suspects and was told."""

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
    """Answer a heartbeat; `lease_ms` counts from when the heartbeat was sent."""

    host: str
    sequence: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class RelayedHeartbeats:
    """Heartbeats that a follower received, passed on to the leader."""

    heartbeats: tuple[HostHeartbeat, ...]


@dataclass(frozen=True, slots=True)
class RelayedReplies:
    """Replies of the leader, to be passed on to attached hosts."""

    replies: tuple[HeartbeatReply, ...]


@dataclass(frozen=True, slots=True)
class StateDelta:
    """Committed entries, the first of which follows the receiver's last."""

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
