"""Finds the log lines that explain a request, in the logs of all processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

# Events up to this time before and after a request may have caused its failure. It is
# longer than the longest statement and than the detection of a lost primary.
CONTEXT_WINDOW_MS: Final = 6_000
_CONTEXT_EVENTS: Final = frozenset(
    {
        "ConfigurationConfirmed",
        "ConfigurationUnconfirmed",
        "ConnectionRefused",
        "EndpointLost",
        "EndpointRegained",
        "PrimaryProven",
        "ProofDiscarded",
        "PromotionDecided",
        "PromotionWaiting",
        "PromotionAnswered",
        "ControlHostChosen",
        "LocalQuotasEnded",
        "LocalQuotasStarted",
        "ProcessChanged",
        "ReplicaPaused",
        "RoleChanged",
        "EventsLeftOut",
    }
)
_PROMOTION_EVENTS: Final = frozenset(
    {"PromotionDecided", "PromotionWaiting", "PromotionAnswered", "ReplicaPaused"}
)
_HIDDEN_FIELDS: Final = frozenset({"time_ms", "host", "event", "request_id"})


@dataclass(frozen=True, slots=True)
class ExplainedLine:
    """A log line that concerns a request.

    `offset_ms` is the time since the request's first line, negative for earlier lines.
    `belongs_to_request` tells lines with the request's id from those of related events.
    """

    offset_ms: int
    host: str
    event: str
    details: str
    belongs_to_request: bool


def parse_log_line(line: str) -> dict[str, Any] | None:
    """Return the event in a log line, or None if there is none.

    Text before the JSON object, as log collectors add it, is ignored.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        value = msgspec.json.decode(line[start:])
    except msgspec.MsgspecError:
        # A line of another program, or one that log rotation has cut off.
        return None
    return value if isinstance(value, dict) and "event" in value else None


def explain_request(request_id: str, lines: Iterable[str]) -> list[ExplainedLine]:
    """Return the log lines of a request and of related events, ordered by time.

    Related are events of `_CONTEXT_EVENTS` within `CONTEXT_WINDOW_MS` of the request:
    those of a host that has logged the request, those that name an endpoint of its
    lines, and all promotions. The event with which such a host applied the
    configuration of the request is included at any time. Empty if no line has the id.
    """
    records = [record for line in lines if (record := parse_log_line(line))]
    request_records = [
        record for record in records if record.get("request_id") == request_id
    ]
    if not request_records:
        return []
    first_ms = min(int(record["time_ms"]) for record in request_records)
    last_ms = max(int(record["time_ms"]) for record in request_records)
    hosts = {record["host"] for record in request_records}
    endpoints = {record.get("endpoint") for record in request_records} - {"", None}
    selected = list(request_records)
    for record in records:
        time_ms = int(record.get("time_ms", 0))
        is_near = first_ms - CONTEXT_WINDOW_MS <= time_ms <= last_ms + CONTEXT_WINDOW_MS
        if record["event"] not in _CONTEXT_EVENTS or not is_near:
            continue
        is_related = (
            record.get("host") in hosts
            or record.get("endpoint") in endpoints
            or record["event"] in _PROMOTION_EVENTS
        )
        if is_related:
            selected.append(record)
    selected += _configuration_records(records, request_records)
    selected.sort(key=lambda record: int(record["time_ms"]))
    return [_to_line(record, first_ms, request_id) for record in selected]


def _configuration_records(
    records: list[dict[str, Any]], request_records: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return the events with which hosts applied the configurations of a request."""
    versions = {
        (record["host"], record.get("configuration_version"))
        for record in request_records
        if "configuration_version" in record
    }
    return [
        record
        for record in records
        if record["event"] == "ConfigurationInForce"
        and (record["host"], record.get("version")) in versions
    ]


def _to_line(record: dict[str, Any], first_ms: int, request_id: str) -> ExplainedLine:
    details = ", ".join(
        f"{key}={value}" for key, value in record.items() if key not in _HIDDEN_FIELDS
    )
    return ExplainedLine(
        int(record["time_ms"]) - first_ms,
        str(record.get("host")),
        str(record["event"]),
        details,
        record.get("request_id") == request_id,
    )
