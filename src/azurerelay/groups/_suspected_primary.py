"""What a host knows of a primary that does not answer it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SuspectedPrimary:
    """A primary that has failed its leadership proofs for `silent_ms`.

    `is_certain` is set if it did not answer over an open connection, or if nothing
    listens at its address; otherwise this host could not open a connection.
    """

    endpoint: str
    silent_ms: float
    is_certain: bool
