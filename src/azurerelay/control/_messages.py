"""Messages between control hosts, besides those of the replicated log."""

from dataclasses import dataclass
from typing import Final

from azurerelay.membership import ChangeOutcome


@dataclass(frozen=True, slots=True)
class ProposeRequest:
    """Ask the leader to propose an encoded settings change."""

    request_id: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """The outcome of a change; None when its fate is not known."""

    request_id: int
    outcome: ChangeOutcome | None


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Ask the leader which index a read must have applied to be current."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReadIndexReply:
    """The leader's commit index, or None when it does not lead any more."""

    request_id: int
    index: int | None


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask the leader for the encoded status."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StatusReply:
    """The encoded status; empty when the receiver does not lead."""

    request_id: int
    data: bytes


CONTROL_HOST_MESSAGES: Final = (
    ProposeRequest,
    ProposeReply,
    ReadIndexRequest,
    ReadIndexReply,
    StatusRequest,
    StatusReply,
)
