"""Events in the log.

Class and field names are part of the log format; units are in the field names.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events."""


@dataclass(frozen=True, slots=True)
class StatementServed(Event):
    """An endpoint has completed a statement successfully."""

    request_id: str
    database: str
    statement: str
    endpoint: str
    required_position: str
    position: str
    duration_ms: float
    attempts: int
    configuration_version: int
    customer: str = ""


@dataclass(frozen=True, slots=True)
class StatementRefused(Event):
    """A statement has failed; `has_run` is "no" only if that is certain."""

    request_id: str
    database: str
    reason: str
    has_run: str
    waited_ms: float
    attempts: int
    endpoint: str
    configuration_version: int
    customer: str = ""


@dataclass(frozen=True, slots=True)
class StatementRetried(Event):
    """An attempt at a statement has failed without lasting effect, so it is retried."""

    request_id: str
    endpoint: str
    reason: str
    attempt: int
    required_position: str


@dataclass(frozen=True, slots=True)
class StatementUnanswered(Event):
    """A caller's connection ended before a statement had its outcome.

    `phase` is "waiting" if no endpoint has the statement, and "sent" if `endpoint` has
    not answered it. `reason` is "in doubt" if the caller was told so, and otherwise why
    the connection ended.
    """

    request_id: str
    database: str
    phase: str
    endpoint: str
    is_in_transaction: bool
    waited_ms: float
    attempts: int
    reason: str


@dataclass(frozen=True, slots=True)
class SessionRefused(Event):
    """A caller's session, or a statement of one, was refused.

    The reason is its database, or the key that the caller sent.

    `configuration_version` is -1 while the host has no configuration. That version was
    known to be the newest `configuration_age_ms` ago.
    """

    database: str
    reason: str
    configuration_version: int
    configuration_age_ms: float


@dataclass(frozen=True, slots=True)
class CustomerLimited(Event):
    """A control host has begun to limit a customer, whose demand exceeds its quota.

    `fraction` of its operations may start. `tokens` is how many it could start beyond
    its rate, negative if it has started too many; `count_age_ms` is the time since its
    operations were last counted.
    """

    customer: str
    fraction: float
    tokens: float
    demand_per_s: float
    count_age_ms: float


@dataclass(frozen=True, slots=True)
class CustomerUnlimited(Event):
    """A control host has stopped limiting a customer after `limited_ms`."""

    customer: str
    limited_ms: float


@dataclass(frozen=True, slots=True)
class LocalQuotasStarted(Event):
    """An entry host limits customers by itself, because control is silent.

    Each customer may start its rate divided by `entry_hosts` here.
    """

    silent_ms: float
    entry_hosts: int


@dataclass(frozen=True, slots=True)
class LocalQuotasEnded(Event):
    """An entry host limits customers by what control says again."""

    local_ms: float


@dataclass(frozen=True, slots=True)
class EndpointLost(Event):
    """Calls to an endpoint have started to fail."""

    endpoint: str
    group: str
    reason: str


@dataclass(frozen=True, slots=True)
class ProofDiscarded(Event):
    """A request for a leadership proof got replies that prove nothing.

    The connection is closed, and the endpoint counts as alive.
    """

    endpoint: str
    group: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionRefused(Event):
    """A connection to an endpoint could not be opened after `waited_ms`."""

    endpoint: str
    group: str
    reason: str
    waited_ms: float


@dataclass(frozen=True, slots=True)
class EndpointRegained(Event):
    """An endpoint answers again, after calls to it had failed for `failing_ms`."""

    endpoint: str
    group: str
    failing_ms: float


@dataclass(frozen=True, slots=True)
class PrimaryProven(Event):
    """An endpoint has confirmed that it is the primary of its group."""

    endpoint: str
    group: str
    position: str


@dataclass(frozen=True, slots=True)
class ConfigurationInForce(Event):
    """An entry host applies a new configuration, received from `source`.

    `reply_delay_ms` is the time since the last request that the sender had received;
    -1 if the host no longer remembers that request.
    """

    version: int
    routes: int
    source: str
    reply_delay_ms: float


@dataclass(frozen=True, slots=True)
class ConfigurationUnconfirmed(Event):
    """An entry host no longer knows whether its configuration is the newest.

    It was so `age_ms` ago. `control_version` is the newest version that a control host
    has stated, -1 if none has, and `reply_delay_ms` the time that the last reply took.
    """

    version: int
    age_ms: float
    control_host: str
    control_version: int
    reply_delay_ms: float


@dataclass(frozen=True, slots=True)
class ConfigurationConfirmed(Event):
    """An entry host knows again that its configuration is the newest."""

    version: int
    unconfirmed_ms: float


@dataclass(frozen=True, slots=True)
class DirectoryChanged(Event):
    """An entry host has received an update of the endpoint directory."""

    revision: int
    endpoints: str


@dataclass(frozen=True, slots=True)
class ControlHostChosen(Event):
    """An entry host has left its control host and chosen the next one."""

    control_host: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationOrdered(Event):
    """A request to replace the configuration; the version is -1 for an invalid one."""

    version: int
    outcome: str
    findings: str
    duration_ms: float


@dataclass(frozen=True, slots=True)
class RoleChanged(Event):
    """A control host has become the control leader, or has ceased to be it."""

    role: str
    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class VotersChanged(Event):
    """The control leader proposes another set of voters."""

    before: str
    after: str
    reason: str


@dataclass(frozen=True, slots=True)
class PromotionDecided(Event):
    """The control leader asks the platform to promote an endpoint."""

    group: str
    endpoint: str
    fencing_token: int
    reason: str
    candidates: str


@dataclass(frozen=True, slots=True)
class PromotionWaiting(Event):
    """No endpoint is promoted yet, because too few have stated their positions.

    An endpoint in `missing` may be the only one that holds an acknowledged commit.
    `needed` of all endpoints must answer; `answered` lists those that have.
    """

    group: str
    reason: str
    needed: int
    answered: str
    missing: str
    waited_ms: float


@dataclass(frozen=True, slots=True)
class ReplicaPaused(Event):
    """A replica that restarted or joined during a promotion receives nothing now.

    `received` is the position that it has received; only the endpoint to be promoted
    receives later ones.
    """

    group: str
    endpoint: str
    incarnation: int
    received: str


@dataclass(frozen=True, slots=True)
class PromotionAnswered(Event):
    """The platform's answer to a promotion; `status` is 0 if there was none."""

    group: str
    endpoint: str
    fencing_token: int
    status: int
    duration_ms: float


@dataclass(frozen=True, slots=True)
class AnnouncementRefused(Event):
    """A heartbeat or deregistration was rejected as invalid.

    Also an entry that another host has sent, or that was saved before a restart.
    """

    endpoint: str
    reason: str


@dataclass(frozen=True, slots=True)
class ControlReplyRefused(Event):
    """A reply of a control host could not be read; the next request asks again."""

    control_host: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionDropped(Event):
    """A connection was closed because the process is short of memory or descriptors.

    `reason` is `memory` or `descriptors`; `held_bytes` is what the connection held.
    """

    service: str
    reason: str
    held_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessChanged(Event):
    """A start, drain or stop of the process, or a reload of its settings."""

    change: str
    detail: str


@dataclass(frozen=True, slots=True)
class CallersDrained(Event):
    """A stopping host is about to close the connections of callers that are left.

    The statements without an answer are counted by whether an endpoint has them.
    """

    duration_ms: float
    connections: int
    waiting_statements: int
    sent_statements: int
    open_transactions: int
