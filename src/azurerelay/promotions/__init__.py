"""Promotion orders and the port that sends them to the platform."""

from azurerelay.promotions._promotion_port import (
    PromotionAnswer,
    PromotionOrder,
    PromotionPort,
)

__all__ = ["PromotionAnswer", "PromotionOrder", "PromotionPort"]
