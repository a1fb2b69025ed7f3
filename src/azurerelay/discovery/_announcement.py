"""Announcements of endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat of an endpoint.

    `incarnation` is the time at which the endpoint started, in Unix milliseconds, and
    `sequence` counts its heartbeats since then. Together they tell which of two
    announcements is newer.
    """

    endpoint: str
    group: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    is_primary: bool
    warmup_ms: int
    incarnation: int
    sequence: int

    @property
    def recency(self) -> tuple[int, int]:
        """A sort key; the newer of two announcements of an endpoint has the larger."""
        return self.incarnation, self.sequence

    def is_equivalent_to(self, other: "Announcement") -> bool:
        """Return whether all fields that matter to routing are equal.

        These are all but the warm-up time and the sequence.
        """
        return (
            self.endpoint == other.endpoint
            and self.group == other.group
            and self.address == other.address
            and self.failure_domain == other.failure_domain
            and self.slots == other.slots
            and self.is_draining == other.is_draining
            and self.is_primary == other.is_primary
            and self.incarnation == other.incarnation
        )
