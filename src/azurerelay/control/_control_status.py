"""The status that the leader reports to operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostStatus:
    """A host's state as the leader knows it.

    `settings_number` is the version of the settings in force on the host and
    `silence_ms` the time since its last heartbeat. `is_lagging` is true if newer
    settings have been committed.
    """

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
    """A group's primary, serving set, endpoints and last failure.

    Each of `endpoints` is a name followed by the endpoint's presence. `trouble` is
    why the last change of primary failed or is delayed, or empty.
    """

    name: str
    term: int
    primary: str | None
    epoch: int
    serving: tuple[str, ...]
    endpoints: tuple[str, ...]
    trouble: str


@dataclass(frozen=True, slots=True)
class ControlStatus:
    """The status of all hosts and groups as the leader knows it."""

    leader: str
    log_term: int
    commit_index: int
    settings_number: int
    hosts: tuple[HostStatus, ...]
    groups: tuple[GroupStatus, ...]
