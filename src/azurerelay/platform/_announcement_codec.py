"""Decoding of endpoints' heartbeats and deregistrations."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from azurerelay.discovery import Announcement


def decode_announcement(endpoint: str, body: bytes) -> Result[Announcement, str]:
    """Decode a heartbeat; the error lists all problems with its body."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        return Err(f"cannot be read: {error}")
    if not isinstance(document, dict) or not endpoint:
        return Err("must be an object, sent by an endpoint with an id")
    problems: list[str] = []
    state = _text_field(document, "state", problems)
    role = _text_field(document, "database_role", problems)
    announcement = Announcement(
        endpoint=endpoint,
        group=_text_field(document, "service", problems),
        address=_text_field(document, "address", problems),
        failure_domain=_text_field(document, "zone", problems),
        slots=_number_field(document, "slots", problems),
        is_draining=state == "draining",
        is_primary=role == "primary",
        warmup_ms=_number_field(document, "cold_remaining_ms", problems),
        incarnation=_number_field(document, "born", problems),  # start time, Unix ms
        sequence=_number_field(document, "seq", problems),
    )
    if state not in ("ready", "draining"):
        problems.append(f"unknown state {state[:20]!r}")
    if role not in ("primary", "replica"):
        problems.append(f"unknown role {role[:20]!r}")
    if not _is_address(announcement.address):
        problems.append("address must be IP:PORT")
    return Err("; ".join(problems)) if problems else Ok(announcement)


def decode_departure(body: bytes) -> int | None:
    """Return the incarnation that is deregistered; None if the body has none."""
    try:
        document = msgspec.json.decode(body) if body else {}
    except msgspec.MsgspecError:
        # The endpoint's ID in the path suffices to deregister it.
        return None
    born = document.get("born") if isinstance(document, dict) else None
    return born if type(born) is int else None


def _text_field(document: dict[str, Any], key: str, problems: list[str]) -> str:
    value = document.get(key)
    if isinstance(value, str) and value:
        return value
    problems.append(f"{key} must be a text")
    return ""


def _number_field(document: dict[str, Any], key: str, problems: list[str]) -> int:
    value = document.get(key)
    if type(value) is int and value >= 0:
        return value
    problems.append(f"{key} must be a whole number")
    return 0


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdecimal()
