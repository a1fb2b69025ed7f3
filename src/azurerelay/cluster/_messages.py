"""Messages between control hosts."""

from dataclasses import dataclass
from typing import Final

from azurerelay.attachment import ControlHost, SuspectedPrimaryReport
from azurerelay.discovery import Announcement, Departure, Drain
from azurerelay.quotas import AdmissionCounts


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks to join the cluster; sent by a host that is not a voter."""

    failure_domain: str


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Answers a `JoinRequest` with the leader, if known, and the voters."""

    leader: str | None
    voters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class AnnouncementRelay:
    """Forwards the heartbeat of an endpoint to the other control hosts."""

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class DepartureRelay:
    """Forwards the departure of an endpoint to the other control hosts."""

    departure: Departure


@dataclass(frozen=True, slots=True)
class DirectoryRequest:
    """Asks the leader for a `DirectoryDigest`; sent when a host learns of a leader.

    `departures` and `drains` are those that the sender knows.
    """

    departures: tuple[Departure, ...]
    drains: tuple[Drain, ...] = ()


@dataclass(frozen=True, slots=True)
class DirectoryDigest:
    """The leader's whole endpoint directory, for hosts that missed a relayed change.

    `entry_hosts` is the number of entry hosts in the fleet. `control_hosts` tells the
    failure domains of the control hosts, which only the leader is told directly.
    `former_members` are removed endpoints that may hold commits no other has, `drains`
    tells since when endpoints drain.
    """

    announcements: tuple[Announcement, ...]
    departures: tuple[Departure, ...]
    entry_hosts: int
    control_hosts: tuple[ControlHost, ...] = ()
    former_members: tuple[Announcement, ...] = ()
    drains: tuple[Drain, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaveRequest:
    """Asks the leader to record that an endpoint is draining or has departed."""

    request_id: int
    announcement: Announcement | None
    departure: Departure | None


@dataclass(frozen=True, slots=True)
class LeaveReply:
    """Answers a `LeaveRequest`.

    `is_noted` is false if the receiver does not lead, or has not heard from a majority
    recently.
    """

    request_id: int
    is_noted: bool


@dataclass(frozen=True, slots=True)
class AttachmentReport:
    """The entry hosts attached to a control host, sent to the leader.

    `entry_hosts` is their number, without those that are draining, and
    `suspected_primaries` the primaries that they suspect.
    """

    failure_domain: str
    entry_hosts: int
    suspected_primaries: tuple[SuspectedPrimaryReport, ...]


@dataclass(frozen=True, slots=True)
class ProposalRequest:
    """Asks the leader to append an encoded command to the log."""

    request_id: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProposalReply:
    """Answers a `ProposalRequest`.

    `is_committed` is false if the command is not known to be committed; it may still
    be committed later.
    """

    request_id: int
    is_committed: bool


@dataclass(frozen=True, slots=True)
class BarrierRequest:
    """Asks the leader for an index that a linearizable read must have applied."""

    request_id: int


@dataclass(frozen=True, slots=True)
class BarrierReply:
    """Answers a `BarrierRequest`.

    `index` is the commit index, or None if the receiver could not confirm that it
    still leads.
    """

    request_id: int
    index: int | None


CLUSTER_MESSAGES: Final = (
    JoinRequest,
    JoinReply,
    AnnouncementRelay,
    DepartureRelay,
    DirectoryRequest,
    DirectoryDigest,
    LeaveRequest,
    LeaveReply,
    AttachmentReport,
    ProposalRequest,
    ProposalReply,
    BarrierRequest,
    BarrierReply,
    AdmissionCounts,
)
