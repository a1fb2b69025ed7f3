"""Budgets of a process: bytes that wait for others, and open connections."""

from azurerelay.budgets._byte_budget import ByteAccount, ByteBudget, ByteHolder
from azurerelay.budgets._connection_budget import ConnectionBudget
from azurerelay.budgets._process_limits import (
    FREE_BYTES,
    PIECE_BYTES,
    ProcessLimits,
)

__all__ = [
    "FREE_BYTES",
    "PIECE_BYTES",
    "ByteAccount",
    "ByteBudget",
    "ByteHolder",
    "ConnectionBudget",
    "ProcessLimits",
]
