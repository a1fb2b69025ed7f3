"""What an endpoint says of itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Announcement:
    """One heartbeat of an endpoint.

    `incarnation` is the Unix millisecond of the endpoint's start and `sequence`
    counts its heartbeats since, so that late ones can be told from new ones.
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
    def order(self) -> tuple[int, int]:
        """The age order of announcements of one endpoint."""
        return self.incarnation, self.sequence

    def says_same_as(self, other: "Announcement") -> bool:
        """Return whether two announcements differ in nothing that routing uses."""
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
