"""Requests that are refused before anything is sent to the endpoint."""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Priority(IntEnum):
    """The order in which requests are served; the highest number is shed first."""

    TRANSACTION = 0
    WRITE = 1
    SESSION_READ = 2
    STALE_READ = 3


class ShedReason(Enum):
    """Why a request was shed."""

    QUEUE_FULL = "queue full"
    DEADLINE = "deadline would pass in the queue"
    CLOSED = "endpoint takes no new work"


@dataclass(frozen=True, slots=True)
class Shed:
    """The reason for a refusal, and the time after which a retry may be accepted."""

    reason: ShedReason
    retry_after_ms: int
