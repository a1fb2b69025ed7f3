"""Result of decoding an invalid frame."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MalformedFrame:
    """A frame that is not a message of this wire version; `reason` says why."""

    reason: str
