"""The port to the platform's promotion of a server."""

from dataclasses import dataclass
from typing import Protocol

from azurerelay.timing import Promise


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """Make an endpoint the primary, unless a higher token was seen for its group."""

    group: str
    endpoint: str
    holder: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class PromotionAnswer:
    """Whether the platform did it; without `is_answered` it may yet do it."""

    is_answered: bool
    is_done: bool
    is_fenced: bool
    status: int


class PromotionPort(Protocol):
    """Send orders."""

    def promote(self, order: PromotionOrder) -> Promise[PromotionAnswer]:
        """Return the platform's answer, or that there was none in time."""
