"""Records of the replicated cluster state."""

from dataclasses import dataclass
from enum import Enum


class Presence(Enum):
    """Whether an endpoint takes new work."""

    PRESENT = "present"
    LEAVING = "leaving"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host that serves callers, with the address of its link.

    `incarnation` changes with each start of the process, which loses its memory;
    `admitted_index` is the log index at which the incarnation was admitted.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: int
    is_draining: bool = False
    admitted_index: int = 0


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as it announced itself."""

    name: str
    group: str
    address: str
    failure_domain: str
    slots: int
    connection_limit: int
    can_fence: bool = True
    presence: Presence = Presence.PRESENT


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """A group's term, primary and serving set.

    `term_index` and `set_index` are the log indexes at which the term began and
    the serving set was assigned: a host that has applied them holds no older lease.
    The registry of idempotency keys is complete on the set of `settled_epoch`: a new
    set collects from a majority of that one, and takes keyed writes once it is
    settled itself. `registry_lost_ms` and `registry_lost_epoch` tell when the registry
    was last lost.
    `is_held` tells that writes wait for a planned switch of primary, since
    `hold_index`.
    """

    name: str
    term: int = 0
    primary: str | None = None
    members: tuple[str, ...] = ()
    epoch: int = 0
    serving: tuple[str, ...] = ()
    term_index: int = 0
    set_index: int = 0
    settled_epoch: int = 0
    settled_serving: tuple[str, ...] = ()
    settled_index: int = 0
    registry_lost_ms: int = 0
    registry_lost_epoch: int = 0
    is_held: bool = False
    hold_index: int = 0

    def quorum(self, expected: int) -> int:
        """Return how many members make a majority."""
        return max(expected, len(self.members)) // 2 + 1
