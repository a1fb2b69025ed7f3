"""Decoding of endpoints' heartbeats and deregistrations."""

from typing import Any, Final

from result import Err, Ok, Result

from azurerelay.discovery import (
    MAX_DURATION_MS,
    MAX_SEQUENCE,
    MAX_SLOTS,
    MAX_UNIX_MS,
    Announcement,
    is_endpoint_address,
    is_name,
    is_word,
)
from azurerelay.platform._json_object import decode_json_object

MAX_BODY_BYTES: Final = 64 * 1024


def decode_announcement(endpoint: str, body: bytes) -> Result[Announcement, str]:
    """Decode a heartbeat; the error lists all problems with its body."""
    decoded = _decode_body(endpoint, body)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.ok_value
    problems: list[str] = []
    state = _text_field(document, "state", problems)
    role = _text_field(document, "database_role", problems)
    announcement = Announcement(
        endpoint=endpoint,
        group=_text_field(document, "service", problems),
        address=_text_field(document, "address", problems),
        failure_domain=_text_field(document, "zone", problems),
        slots=_number_field(document, "slots", MAX_SLOTS, problems),
        is_draining=state == "draining",
        is_primary=role == "primary",
        warmup_ms=_number_field(
            document, "cold_remaining_ms", MAX_DURATION_MS, problems
        ),
        # The start time of the endpoint.
        incarnation=_number_field(document, "born", MAX_UNIX_MS, problems),
        sequence=_number_field(document, "seq", MAX_SEQUENCE, problems),
    )
    if state not in ("ready", "draining"):
        problems.append(f"unknown state {state[:20]!r}")
    if role not in ("primary", "replica"):
        problems.append(f"unknown database_role {role[:20]!r}")
    if " " in announcement.group:
        problems.append("service must not have blanks")
    if not is_endpoint_address(announcement.address):
        problems.append("address must be IP:PORT")
    return Err("; ".join(problems)) if problems else Ok(announcement)


def decode_departure(endpoint: str, body: bytes) -> Result[int | None, str]:
    """Return the incarnation that is deregistered; None if the body has none.

    The endpoint's ID in the path suffices to deregister it. A body that is not one of
    an endpoint is an error: whoever sent it does not speak for the endpoint.
    """
    decoded = _decode_body(endpoint, body or b"{}")
    if isinstance(decoded, Err):
        return decoded
    if "born" not in decoded.ok_value:
        return Ok(None)
    problems: list[str] = []
    incarnation = _number_field(decoded.ok_value, "born", MAX_UNIX_MS, problems)
    return Err("; ".join(problems)) if problems else Ok(incarnation)


def _decode_body(endpoint: str, body: bytes) -> Result[dict[str, Any], str]:
    if not is_word(endpoint):
        return Err("the endpoint's id must be a word")
    if len(body) > MAX_BODY_BYTES:
        return Err(f"is larger than {MAX_BODY_BYTES} bytes")
    return decode_json_object(body)


def _text_field(document: dict[str, Any], key: str, problems: list[str]) -> str:
    value = document.get(key)
    if isinstance(value, str) and is_name(value):
        return value
    problems.append(f"{key} must be a printable text")
    return ""


def _number_field(
    document: dict[str, Any], key: str, maximum: int, problems: list[str]
) -> int:
    value = document.get(key)
    if type(value) is int and 0 <= value <= maximum:
        return value
    problems.append(f"{key} must be a whole number from 0 to {maximum}")
    return 0
