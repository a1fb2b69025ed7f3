"""Paths, headers and bodies of the platform's HTTP calls."""

from dataclasses import dataclass
from typing import Final

import msgspec

from azurerelay.promotions import PromotionAnswer, PromotionOrder

READINESS_PATH: Final = "/v1/readiness"
REPLACE_PATH: Final = "/v1/Configuration.Replace"
READ_PATH: Final = "/v1/Configuration.Read"
HEARTBEAT_PREFIX: Final = "/v1/Instances.Heartbeat/"
DEREGISTER_PREFIX: Final = "/v1/Instances.Deregister/"
_PROMOTION_PATH: Final = "/promotion"
_HOLDER_HEADER: Final = "X-Azurerelay-Duty-Holder"
_TOKEN_HEADER: Final = "X-Azurerelay-Fencing-Token"
_OK: Final = 200
_CONFLICT: Final = 409


@dataclass(frozen=True, slots=True)
class PlatformCall:
    """A POST to the platform."""

    path: str
    headers: dict[str, str]
    body: bytes


def encode_promotion(order: PromotionOrder) -> PlatformCall:
    """Return the call that orders a promotion."""
    return PlatformCall(
        _PROMOTION_PATH,
        {
            "Content-Type": "application/json",
            _HOLDER_HEADER: order.holder,
            _TOKEN_HEADER: str(order.fencing_token),
        },
        msgspec.json.encode({"service": order.group, "id": order.endpoint}),
    )


def decode_promotion(status: int) -> PromotionAnswer:
    """Return what a status says; 409 is a lower token or an endpoint that is down."""
    return PromotionAnswer(
        is_answered=True,
        is_done=status == _OK,
        is_fenced=status == _CONFLICT,
        status=status,
    )
