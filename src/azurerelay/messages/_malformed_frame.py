"""The finding that a frame could not be decoded."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MalformedFrame:
    """Bytes that are no message of this version; `reason` says why."""

    reason: str
