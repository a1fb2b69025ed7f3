"""The timing and sizes of the replicated log."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Intervals in milliseconds, batch sizes in entries and bytes."""

    heartbeat_ms: float = 50.0
    election_min_ms: float = 250.0
    election_max_ms: float = 500.0
    resend_ms: float = 150.0
    batch_entries: int = 256
    chunk_bytes: int = 256 * 1024
    snapshot_entries: int = 1000
