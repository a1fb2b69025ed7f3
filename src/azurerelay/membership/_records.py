"""Records of the replicated cluster state."""

from dataclasses import dataclass
from enum import Enum


class Presence(Enum):
    """Whether an endpoint takes new work.

    It does not while it is leaving, or once its announcements have expired.
    """

    PRESENT = "present"
    LEAVING = "leaving"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class HostRecord:
    """A host that serves callers; `address` is that of its link.

    `incarnation` changes with each start of the process, which loses the in-memory
    state. `admitted_index` is the log index at which the incarnation was admitted.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: int
    is_draining: bool = False
    admitted_index: int = 0


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint, as it last announced itself, and its presence."""

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

    `members` are the endpoints of the group, `serving` the hosts of the serving set,
    which run the requests to the group. `epoch` numbers the serving sets. `term_index`
    and `set_index` are the log indexes at which the term began and the serving set was
    assigned. A host that has applied them no longer uses its lease for an earlier term
    or set of the group.

    `settled_epoch`, `settled_serving` and `settled_index` describe the last serving
    set on which the registry of idempotency keys was complete, or was given up as
    lost. A new set collects the registry from a majority of the settled one, and
    accepts writes with idempotency keys once it is settled itself. `registry_lost_ms`
    (Unix time) and `registry_lost_epoch` tell when the registry was last lost.

    `is_held` tells that writes wait for a planned change of primary; `hold_index` is
    the log index at which they were last held or released.
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
        """Return the majority of `expected` endpoints, or of the members if more."""
        return max(expected, len(self.members)) // 2 + 1
