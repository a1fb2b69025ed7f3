"""The transaction state of a session between two statements."""

from enum import Enum


class SessionState(Enum):
    """Whether a transaction is open, and whether it can still succeed."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED = "failed transaction"
