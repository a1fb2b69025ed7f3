"""The catalogue of decisions that are logged; stable names, units in the fields."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One decision or change of belief."""


@dataclass(frozen=True, slots=True)
class StatementServed(Event):
    """A statement was answered with success."""

    request_id: str
    database: str
    statement: str
    endpoint: str
    required_position: str
    position: str
    duration_ms: float
    attempts: int
    configuration_version: int


@dataclass(frozen=True, slots=True)
class StatementRefused(Event):
    """A statement was given up; `has_run` is "no" only when that is certain."""

    request_id: str
    database: str
    reason: str
    has_run: str
    waited_ms: float
    attempts: int
    endpoint: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class StatementRetried(Event):
    """A statement is tried again, as nothing of the last try is kept."""

    request_id: str
    endpoint: str
    reason: str
    attempt: int
    required_position: str


@dataclass(frozen=True, slots=True)
class SessionRefused(Event):
    """A caller's session was not opened."""

    database: str
    reason: str
    configuration_version: int


@dataclass(frozen=True, slots=True)
class EndpointLost(Event):
    """Attempts at an endpoint have begun to fail."""

    endpoint: str
    group: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionRefused(Event):
    """A connection to an endpoint could not be opened."""

    endpoint: str
    group: str
    reason: str
    waited_ms: float


@dataclass(frozen=True, slots=True)
class EndpointRegained(Event):
    """An endpoint answers again."""

    endpoint: str
    group: str
    failing_ms: float


@dataclass(frozen=True, slots=True)
class PrimaryProven(Event):
    """An endpoint has shown that it leads its group."""

    endpoint: str
    group: str
    position: str


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """A host handles statements by another configuration."""

    version: int
    routes: int
    source: str


@dataclass(frozen=True, slots=True)
class DirectoryChanged(Event):
    """A host knows of other endpoints than before."""

    revision: int
    endpoints: str


@dataclass(frozen=True, slots=True)
class ControlHostChosen(Event):
    """An entry host follows another control host."""

    control_host: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationOrdered(Event):
    """An operator's replacement of the configuration and its outcome."""

    version: int
    outcome: str
    findings: str
    duration_ms: float


@dataclass(frozen=True, slots=True)
class RoleChanged(Event):
    """A control host began or ceased to lead."""

    role: str
    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class VotersChanged(Event):
    """The leader changes the voter set."""

    before: str
    after: str
    reason: str


@dataclass(frozen=True, slots=True)
class PromotionDecided(Event):
    """The leader asks for another primary."""

    group: str
    endpoint: str
    fencing_token: int
    reason: str
    candidates: str


@dataclass(frozen=True, slots=True)
class PromotionAnswered(Event):
    """The platform's answer to a promotion; status 0 when there was none."""

    group: str
    endpoint: str
    fencing_token: int
    status: int
    duration_ms: float


@dataclass(frozen=True, slots=True)
class AnnouncementRefused(Event):
    """A heartbeat that names no endpoint to use."""

    endpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class ProcessChanged(Event):
    """A start, stop or reload of the process."""

    change: str
    detail: str
