"""Result of a settings change."""

from dataclasses import dataclass
from enum import Enum

from azurerelay.settings import Finding


class ChangeStatus(Enum):
    """Whether a settings change was accepted, and if not, why."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Status of a settings change.

    `number` is the settings number after the change was applied or refused. `index`
    is the log index from which the change is in force; zero unless it was accepted.
    `findings` tell why the change is invalid.
    """

    status: ChangeStatus
    number: int
    index: int = 0
    findings: tuple[Finding, ...] = ()
