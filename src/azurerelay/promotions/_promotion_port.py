"""The port for promotion orders to the platform."""

from dataclasses import dataclass
from typing import Protocol

from azurerelay.timing import Promise


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """An order to make an endpoint the primary of its group.

    The platform refuses it if it has seen a higher `fencing_token` for the group.
    `issuer` identifies the control host that sends the order.
    """

    group: str
    endpoint: str
    issuer: str
    fencing_token: int


@dataclass(frozen=True, slots=True)
class PromotionAnswer:
    """The platform's answer to an order.

    If `is_answered` is false, the order may still be carried out. `is_done` is true if
    the platform accepted it, `is_fenced` if the platform refused it because of a higher
    token or because the endpoint is down. `status` is the HTTP status, 0 without an
    answer.
    """

    is_answered: bool
    is_done: bool
    is_fenced: bool
    status: int


class PromotionPort(Protocol):
    """Sends promotion orders to the platform."""

    def promote(self, order: PromotionOrder) -> Promise[PromotionAnswer]:
        """Send an order and return the answer, or one with `is_answered` false."""
