"""Messages between entry hosts and the control host that they follow."""

from dataclasses import dataclass

from azurerelay.discovery import Announcement, Departure
from azurerelay.routes import ConfigurationChange
from azurerelay.statements import Position


@dataclass(frozen=True, slots=True)
class PrimarySuspicion:
    """A leader that does not answer this host, and for how long."""

    group: str
    endpoint: str
    silent_ms: float


@dataclass(frozen=True, slots=True)
class DirectoryMark:
    """Which directory a host has: that of a process of a control host."""

    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """What an entry host has, sent regularly; it is the host's heartbeat, too."""

    sequence: int
    failure_domain: str
    configuration_version: int
    directory: DirectoryMark
    is_draining: bool
    suspicions: tuple[PrimarySuspicion, ...]


@dataclass(frozen=True, slots=True)
class ControlHost:
    """A control host's link address and place."""

    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """All endpoints that a control host knows, and those that have lately gone."""

    mark: DirectoryMark
    announcements: tuple[Announcement, ...]
    departures: tuple[Departure, ...]


@dataclass(frozen=True, slots=True)
class ProvenLeader:
    """A position that a group's leader has proven to a control host.

    `age_ms` is how long before this was written the proof was asked for, and
    `silent_ms` for how long the leader has not answered control; 0 when it does.
    """

    group: str
    position: Position | None
    age_ms: float
    silent_ms: float


@dataclass(frozen=True, slots=True)
class SyncReply:
    """What the entry host lacks; sent in answer, and at each change.

    `leader_silence_ms` tells how old the control host's state may be, `entry_hosts` by
    how many the connections of endpoints are shared, and `leaders` which positions
    have been proven, for groups with fewer connections than hosts.
    """

    sequence: int
    leader_silence_ms: float
    entry_hosts: int
    configuration: ConfigurationChange | None
    directory: DirectoryUpdate | None
    control_hosts: tuple[ControlHost, ...]
    leaders: tuple[ProvenLeader, ...]


ATTACHMENT_MESSAGES = (SyncRequest, SyncReply)
