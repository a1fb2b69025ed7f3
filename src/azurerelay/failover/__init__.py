"""Failure detection for primaries by serving hosts."""

from azurerelay.failover._primary_failure_detector import PrimaryFailureDetector

__all__ = ["PrimaryFailureDetector"]
