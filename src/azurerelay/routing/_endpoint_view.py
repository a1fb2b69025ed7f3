"""What a serving host knows of one endpoint."""

from dataclasses import dataclass
from typing import Final

from azurerelay.endpoints import EndpointAnswer, EndpointRole

SMOOTHING: Final = 0.2
INITIAL_ROUND_TRIP_MS: Final = 3.0


@dataclass(slots=True)
class EndpointView:
    """The newest answer of an endpoint and its health; times in milliseconds.

    `misses` and `demotions` count probes in a row that failed, and that the group's
    primary answered in another role.
    """

    name: str
    failure_domain: str
    term: int = 0
    position: int = 0
    log_term: int = 0
    synced_term: int = 0
    role: EndpointRole = EndpointRole.REPLICA
    heard_ms: float | None = None
    sent_ms: float = 0.0
    misses: int = 0
    demotions: int = 0
    primary_silence_ms: float = 0.0
    round_trip_ms: float = INITIAL_ROUND_TRIP_MS

    def record(self, answer: EndpointAnswer, sent_ms: float, now_ms: float) -> bool:
        """Take over an answer, unless a later call has already shown more.

        Return whether the endpoint's position, term or role has changed.
        """
        is_behind = (answer.term, answer.synced_term, answer.position) < (
            self.term,
            self.synced_term,
            self.position,
        )
        if is_behind and sent_ms < self.sent_ms:
            return False
        before = (self.term, self.position, self.log_term, self.synced_term, self.role)
        self.term = answer.term
        self.position = answer.position
        self.log_term = answer.log_term
        self.synced_term = answer.synced_term
        self.role = answer.role
        self.primary_silence_ms = answer.primary_silence_ms
        self.sent_ms = max(self.sent_ms, sent_ms)
        self.heard_ms = now_ms
        return before != (
            answer.term,
            answer.position,
            answer.log_term,
            answer.synced_term,
            answer.role,
        )

    def record_round_trip(self, duration_ms: float) -> None:
        """Smooth the measured time of a probe."""
        self.round_trip_ms += SMOOTHING * (duration_ms - self.round_trip_ms)

    def holds(self, term: int, position: int) -> bool:
        """Return whether the endpoint surely holds a position of a term's log."""
        is_of_term = self.synced_term == term and self.log_term == term
        return is_of_term and self.position >= position
