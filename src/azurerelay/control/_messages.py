"""Messages between control hosts, except those of the replicated log."""

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
    """The outcome of a change; None if it may or may not be committed."""

    request_id: int
    outcome: ChangeOutcome | None


@dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Ask the leader for the index that a linearizable read must have applied."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ReadIndexReply:
    """The leader's commit index, or None if the leadership is not confirmed."""

    request_id: int
    index: int | None


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Ask the leader for its `ControlStatus`."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StatusReply:
    """The encoded `ControlStatus`; empty if the sender is not the ready leader."""

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
