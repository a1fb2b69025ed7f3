"""Work that was refused before anything was sent."""

from dataclasses import dataclass
from enum import Enum, IntEnum


class Priority(IntEnum):
    """The order in which queued work is served; the highest number sheds first."""

    TRANSACTION = 0
    WRITE = 1
    SESSION_READ = 2
    STALE_READ = 3


class ShedReason(Enum):
    """Why work was shed."""

    QUEUE_FULL = "queue full"
    DEADLINE = "deadline would pass in the queue"
    CLOSED = "endpoint takes no new work"


@dataclass(frozen=True, slots=True)
class Shed:
    """Refused work and when a retry may be accepted, in milliseconds."""

    reason: ShedReason
    retry_after_ms: int
