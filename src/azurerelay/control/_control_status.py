"""What the leader tells operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostStatus:
    """A host, the settings number in force on it and its silence in milliseconds."""

    name: str
    failure_domain: str
    address: str
    settings_number: int
    applied_index: int
    silence_ms: float
    has_lease: bool
    is_draining: bool
    is_lagging: bool


@dataclass(frozen=True, slots=True)
class GroupStatus:
    """A group's primary, serving set and, if it has no primary, why."""

    name: str
    term: int
    primary: str | None
    epoch: int
    serving: tuple[str, ...]
    endpoints: tuple[str, ...]
    trouble: str


@dataclass(frozen=True, slots=True)
class ControlStatus:
    """The state of the fleet as its leader sees it."""

    leader: str
    log_term: int
    commit_index: int
    settings_number: int
    hosts: tuple[HostStatus, ...]
    groups: tuple[GroupStatus, ...]
