"""Failure detection for primaries by serving hosts."""

from azurerelay.failover._primary_watch import PrimaryWatch

__all__ = ["PrimaryWatch"]
