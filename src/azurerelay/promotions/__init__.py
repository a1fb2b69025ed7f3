"""Orders to make another endpoint the primary, and the port that takes them."""

from azurerelay.promotions._promotion_port import (
    PromotionAnswer,
    PromotionOrder,
    PromotionPort,
)

__all__ = ["PromotionAnswer", "PromotionOrder", "PromotionPort"]
