"""Paths, headers and bodies of HTTP requests to and from the platform."""

from dataclasses import dataclass
from typing import Final

import msgspec

from azurerelay.promotions import PromotionAnswer, PromotionOrder

READINESS_PATH: Final = "/v1/readiness"
CONFIGURATION_REPLACE_PATH: Final = "/v1/Configuration.Replace"
CONFIGURATION_READ_PATH: Final = "/v1/Configuration.Read"
HEARTBEAT_PATH_PREFIX: Final = "/v1/Instances.Heartbeat/"
DEREGISTER_PATH_PREFIX: Final = "/v1/Instances.Deregister/"
_PROMOTION_PATH: Final = "/promotion"
_ORDER_ISSUER_HEADER: Final = "X-Azurerelay-Duty-Holder"
_FENCING_TOKEN_HEADER: Final = "X-Azurerelay-Fencing-Token"
_OK: Final = 200
_CONFLICT: Final = 409


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """A POST request to the platform."""

    path: str
    headers: dict[str, str]
    body: bytes


def encode_promotion_order(order: PromotionOrder) -> PlatformCall:
    """Return the request that orders a promotion."""
    return PlatformCall(
        _PROMOTION_PATH,
        {
            "Content-Type": "application/json",
            _ORDER_ISSUER_HEADER: order.issuer,
            _FENCING_TOKEN_HEADER: str(order.fencing_token),
        },
        msgspec.json.encode({"service": order.group, "id": order.endpoint}),
    )


def decode_promotion_status(status: int) -> PromotionAnswer:
    """Return the answer that a response status stands for.

    The platform responds with 409 if the fencing token is lower than an earlier one
    or the endpoint is down.
    """
    return PromotionAnswer(
        is_answered=True,
        is_done=status == _OK,
        is_fenced=status == _CONFLICT,
        status=status,
    )
