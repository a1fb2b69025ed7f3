"""Runs the requests of a database group on a serving host."""

from azurerelay.serving._group_server import GroupServer
from azurerelay.serving._serving_context import ServingContext
from azurerelay.serving._serving_counters import ServingCounters
from azurerelay.serving._transaction_path import transaction_host

__all__ = ["GroupServer", "ServingContext", "ServingCounters", "transaction_host"]
