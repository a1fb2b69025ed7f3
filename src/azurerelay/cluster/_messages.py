"""Messages between control hosts."""

from dataclasses import dataclass
from typing import Final

from azurerelay.attachment import PrimarySuspicion
from azurerelay.discovery import Announcement, Departure


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Ask to become a voter; sent by a host that is none."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Tell a host that wants to join who leads and who votes."""

    leader: str | None
    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AnnouncementRelay:
    """An endpoint's heartbeat, passed on to the other control hosts."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class DepartureRelay:
    """An endpoint's end, passed on to the other control hosts."""

    departure: Departure


@dataclass(frozen=True, slots=True)
class DirectoryDigest:
    """All that the leader knows of endpoints, for hosts that missed a relay."""

    announcements: tuple[Announcement, ...]
    departures: tuple[Departure, ...]
    entry_hosts: int


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Have the leader take note that an endpoint drains or is gone."""

    request_id: int
    announcement: Announcement | None
    departure: Departure | None


@dataclass(frozen=True, slots=True)
class LeaveReply:
    """Tell that the leader has taken note."""

    request_id: int
    is_noted: bool


@dataclass(frozen=True, slots=True)
class AttachmentReport:
    """How many entry hosts follow a control host, and what they suspect."""

    failure_domain: str
    entry_hosts: int
    suspicions: tuple[tuple[str, PrimarySuspicion], ...]


@dataclass(frozen=True, slots=True)
class ProposalRequest:
    """Have the leader append a command."""

    request_id: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProposalReply:
    """Tell whether a command is committed."""

    request_id: int
    is_committed: bool


@dataclass(frozen=True, slots=True)
class BarrierRequest:
    """Ask the leader how far the log is committed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class BarrierReply:
    """The committed index that a leader confirmed; None when it could not."""

    request_id: int
    index: int | None


CLUSTER_MESSAGES: Final = (
    JoinRequest,
    JoinReply,
    AnnouncementRelay,
    DepartureRelay,
    DirectoryDigest,
    LeaveRequest,
    LeaveReply,
    AttachmentReport,
    ProposalRequest,
    ProposalReply,
    BarrierRequest,
    BarrierReply,
)
