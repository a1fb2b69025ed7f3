"""From a request's id to its cause, over the logs of all processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

import msgspec

# What may have caused a failure lies this close to the statement: longer than the
# longest statement and the detection of a lost primary.
CONTEXT_MS: Final = 6_000
_CONTEXT_EVENTS: Final = frozenset(
    {
        "ConnectionRefused",
        "EndpointLost",
        "EndpointRegained",
        "PrimaryProven",
        "PromotionDecided",
        "PromotionAnswered",
        "ControlHostChosen",
        "ProcessChanged",
        "RoleChanged",
        "EventsLeftOut",
    }
)
_HIDDEN_FIELDS: Final = frozenset({"time_ms", "host", "event", "request_id"})


@dataclass(frozen=True, slots=True)
class ExplainedLine:
    """One log line on the way to the cause; `after_ms` counts from the first."""

    after_ms: int
    host: str
    event: str
    details: str
    is_of_request: bool


def parse_log_line(line: str) -> dict[str, Any] | None:
    """Return the JSON object in a log line, whatever a collector put before it."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        value = msgspec.json.decode(line[start:])
    except msgspec.MsgspecError:
        # Lines of other programs, or cut off by a rotation: nothing to explain.
        return None
    return value if isinstance(value, dict) and "event" in value else None


def explain_request(request_id: str, lines: Iterable[str]) -> list[ExplainedLine]:
    """Return the lines of a request and of what happened around it, in order.

    Lines of the request's own host and of the endpoints that it was offered to are
    kept, and the promotions and roles of control. Empty if no line has the id.
    """
    records = [record for line in lines if (record := parse_log_line(line))]
    own = [record for record in records if record.get("request_id") == request_id]
    if not own:
        return []
    first_ms = min(int(record["time_ms"]) for record in own)
    last_ms = max(int(record["time_ms"]) for record in own)
    hosts = {record["host"] for record in own}
    endpoints = {record.get("endpoint") for record in own} - {"", None}
    kept = list(own)
    for record in records:
        time_ms = int(record.get("time_ms", 0))
        is_near = first_ms - CONTEXT_MS <= time_ms <= last_ms + CONTEXT_MS
        if record["event"] not in _CONTEXT_EVENTS or not is_near:
            continue
        is_related = (
            record.get("host") in hosts
            or record.get("endpoint") in endpoints
            or record["event"] in ("PromotionDecided", "PromotionAnswered")
        )
        if is_related:
            kept.append(record)
    kept += _configurations(records, own)
    kept.sort(key=lambda record: int(record["time_ms"]))
    return [_explained(record, first_ms, request_id) for record in kept]


def _configurations(
    records: list[dict[str, Any]], own: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Return when the request's host took the configuration that served it."""
    wanted = {
        (record["host"], record.get("configuration_version"))
        for record in own
        if "configuration_version" in record
    }
    return [
        record
        for record in records
        if record["event"] == "ConfigurationInForce"
        and (record["host"], record.get("version")) in wanted
    ]


def _explained(record: dict[str, Any], first_ms: int, request_id: str) -> ExplainedLine:
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
