"""Backoff and budget for retries."""

from azurerelay.retries._backoff import Backoff
from azurerelay.retries._retry_budget import RetryBudget

__all__ = ["Backoff", "RetryBudget"]
