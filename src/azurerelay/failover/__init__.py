"""Detection of a lost primary and its replacement."""

from azurerelay.failover._primary_watch import PrimaryWatch

__all__ = ["PrimaryWatch"]
