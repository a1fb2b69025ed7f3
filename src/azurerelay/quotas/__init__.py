"""Quotas of customers that hold over all entry hosts together."""

from azurerelay.quotas._admission_gate import AdmissionGate, QuotaState
from azurerelay.quotas._message_delays import MessageDelays
from azurerelay.quotas._messages import (
    AdmissionCounts,
    AdmissionFraction,
    AdmissionLimits,
    AdmissionReport,
    OperationCount,
)
from azurerelay.quotas._quota_ledger import CustomerLimit, QuotaLedger

__all__ = [
    "AdmissionCounts",
    "AdmissionFraction",
    "AdmissionGate",
    "AdmissionLimits",
    "AdmissionReport",
    "CustomerLimit",
    "OperationCount",
    "MessageDelays",
    "QuotaLedger",
    "QuotaState",
]
