"""Limits per endpoint: concurrency windows, fair queues and connection pools."""

from azurerelay.limits._admission_gate import AdmissionGate
from azurerelay.limits._concurrency_window import ConcurrencyWindow
from azurerelay.limits._connection_pool import ConnectionPool
from azurerelay.limits._fair_queue import FairQueue, QueuedRequest
from azurerelay.limits._serving_host_share import serving_host_share
from azurerelay.limits._shed import Priority, Shed, ShedReason

__all__ = [
    "AdmissionGate",
    "ConcurrencyWindow",
    "ConnectionPool",
    "FairQueue",
    "Priority",
    "QueuedRequest",
    "Shed",
    "ShedReason",
    "serving_host_share",
]
