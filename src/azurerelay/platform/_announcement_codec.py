"""Heartbeats of endpoints."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from azurerelay.discovery import Announcement


def decode_announcement(endpoint: str, body: bytes) -> Result[Announcement, str]:
    """Return what an endpoint says of itself, or why it cannot be used."""
    try:
        document = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        return Err(f"cannot be read: {error}")
    if not isinstance(document, dict) or not endpoint:
        return Err("must be an object, sent by an endpoint with an id")
    problems: list[str] = []
    state = _text(document, "state", problems)
    role = _text(document, "database_role", problems)
    announcement = Announcement(
        endpoint=endpoint,
        group=_text(document, "service", problems),
        address=_text(document, "address", problems),
        failure_domain=_text(document, "zone", problems),
        slots=_number(document, "slots", problems),
        is_draining=state == "draining",
        is_primary=role == "primary",
        warmup_ms=_number(document, "cold_remaining_ms", problems),
        incarnation=_number(document, "born", problems),  # start, Unix ms
        sequence=_number(document, "seq", problems),
    )
    if state not in ("ready", "draining"):
        problems.append(f"unknown state {state[:20]!r}")
    if role not in ("primary", "replica"):
        problems.append(f"unknown role {role[:20]!r}")
    if not _is_address(announcement.address):
        problems.append("address must be IP:PORT")
    return Err("; ".join(problems)) if problems else Ok(announcement)


def decode_departure(body: bytes) -> int | None:
    """Return the incarnation that leaves, where the endpoint says it."""
    try:
        document = msgspec.json.decode(body) if body else {}
    except msgspec.MsgspecError:
        # The endpoint's id in the path is enough to act on.
        return None
    born = document.get("born") if isinstance(document, dict) else None
    return born if type(born) is int else None


def _text(document: dict[str, Any], key: str, problems: list[str]) -> str:
    value = document.get(key)
    if isinstance(value, str) and value:
        return value
    problems.append(f"{key} must be a text")
    return ""


def _number(document: dict[str, Any], key: str, problems: list[str]) -> int:
    value = document.get(key)
    if type(value) is int and value >= 0:
        return value
    problems.append(f"{key} must be a whole number")
    return 0


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdecimal()
