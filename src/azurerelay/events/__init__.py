"""Typed events of all decisions, and the port that they are written to."""

from azurerelay.events._event_log import EventLog, NoEvents
from azurerelay.events._events import (
    AnnouncementRefused,
    ConfigurationInForce,
    ConfigurationOrdered,
    ControlHostChosen,
    DirectoryChanged,
    EndpointLost,
    EndpointRegained,
    Event,
    PrimaryProven,
    ProcessChanged,
    PromotionAnswered,
    PromotionDecided,
    RoleChanged,
    SessionRefused,
    StatementRefused,
    StatementRetried,
    StatementServed,
    VotersChanged,
)
from azurerelay.events._explanation import (
    ExplainedLine,
    explain_request,
    parse_log_line,
)

__all__ = [
    "ExplainedLine",
    "explain_request",
    "parse_log_line",
    "AnnouncementRefused",
    "ConfigurationInForce",
    "ConfigurationOrdered",
    "ControlHostChosen",
    "DirectoryChanged",
    "EndpointLost",
    "EndpointRegained",
    "Event",
    "EventLog",
    "NoEvents",
    "PrimaryProven",
    "ProcessChanged",
    "PromotionAnswered",
    "PromotionDecided",
    "RoleChanged",
    "SessionRefused",
    "StatementRefused",
    "StatementRetried",
    "StatementServed",
    "VotersChanged",
]
