"""The answer to a settings change."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.settings import Finding


class ChangeStatus(Enum):
    """What became of a settings change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """The status, the settings number after it, and the findings if invalid.

    `index` is the log index at which the change is in force; zero unless accepted.
    """

    status: ChangeStatus
    number: int
    index: int = 0
    findings: tuple[Finding, ...] = ()
