"""Messages between entry hosts and the control host they are attached to."""

from dataclasses import dataclass

from azurerelay.discovery import Announcement, Departure, Drain
from azurerelay.quotas import AdmissionLimits, AdmissionReport
from azurerelay.routes import ConfigurationChange
from azurerelay.statements import Position


@dataclass(frozen=True, slots=True)
class PrimarySuspicion:
    """A primary that has not answered the sending entry host for `silent_ms`.

    `is_certain` is set if it did not answer over an open connection, or if nothing
    listens at its address. An entry host that could only not open a connection may have
    met a crowd of other hosts.
    """

    group: str
    endpoint: str
    silent_ms: float
    is_certain: bool = True


@dataclass(frozen=True, slots=True)
class DirectoryMark:
    """Identifies a revision of the endpoint directory.

    Revisions are counted by each control host process; `incarnation` identifies the
    process.
    """

    incarnation: int
    revision: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """The state of an entry host, sent regularly; also serves as its heartbeat.

    `configuration_version` and `directory` tell what the host has, so that the reply
    contains only what it lacks. `has_missed_update` is set if the host got a change
    that does not follow what it has, so that earlier replies must have been lost. A
    host of a build that knows neither directory changes nor packed replies leaves
    `accepts_compact_replies` out.
    """

    sequence: int
    failure_domain: str
    configuration_version: int
    directory: DirectoryMark
    is_draining: bool
    suspicions: tuple[PrimarySuspicion, ...]
    accepts_compact_replies: bool = False
    has_missed_update: bool = False


@dataclass(frozen=True, slots=True)
class Detach:
    """Tells a control host that the sending entry host now follows another one."""


@dataclass(frozen=True, slots=True)
class ControlHost:
    """The link address and failure domain of a control host."""

    address: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """The changes of the endpoint directory after `base_revision`, up to `mark`.

    Both count the revisions of the same control host process. Without a base revision,
    `announcements` holds all endpoints that the control host knows. `removed` names
    endpoints that are no longer known and have not restarted since. `drains` tells how
    long the draining ones among `announcements` have been known to drain; control hosts
    of earlier builds leave it out.
    """

    mark: DirectoryMark
    announcements: tuple[Announcement, ...]
    departures: tuple[Departure, ...]
    base_revision: int | None = None
    removed: tuple[str, ...] = ()
    drains: tuple[Drain, ...] = ()


@dataclass(frozen=True, slots=True)
class ProvenLeader:
    """The newest position at which a control host has verified a group's primary.

    `age_ms` is the time between the request for that proof and the creation of this
    message. `silent_ms` is the time for which the primary has not answered the control
    host; 0 if it answers.
    """

    group: str
    position: Position | None
    age_ms: float
    silent_ms: float


@dataclass(frozen=True, slots=True)
class SyncReply:
    """What an entry host lacks; sent in reply to a request and after each change.

    `leader_silence_ms`, named after what it meant in the first builds, is the time
    since the control host is known to have had all changes that control had committed.
    `entry_hosts` is the number of hosts that share the connections of endpoints.
    `control_hosts` is empty if the list is left out. `leaders` holds the verified
    primaries of groups that have fewer connections than there are hosts. A large
    configuration or directory is compressed in `packed_update`, and its own field is
    then None. `configuration_version` is the newest version that the control host has,
    -1 if it has none; control hosts of earlier builds leave it out.
    """

    sequence: int
    leader_silence_ms: float
    entry_hosts: int
    configuration: ConfigurationChange | None
    directory: DirectoryUpdate | None
    control_hosts: tuple[ControlHost, ...]
    leaders: tuple[ProvenLeader, ...]
    packed_update: bytes | None = None
    configuration_version: int | None = None


ATTACHMENT_MESSAGES = (
    SyncRequest,
    SyncReply,
    Detach,
    AdmissionReport,
    AdmissionLimits,
)
