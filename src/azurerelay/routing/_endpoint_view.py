"""A serving host's view of one endpoint."""

from dataclasses import dataclass
from typing import Final

from azurerelay.endpoints import EndpointAnswer, EndpointRole

SMOOTHING: Final = 0.2  # weight of the newest value in a moving average
INITIAL_ROUND_TRIP_MS: Final = 3.0  # used until the first probe is measured


@dataclass(slots=True)
class EndpointView:
    """The newest answer of an endpoint and its health; times in milliseconds.

    `misses` counts consecutive failed probes, and `demotions` consecutive answers to
    probes in which the group's primary reported the replica role. `newest_sent_ms` is
    the latest send time of all calls with a recorded answer, and `last_answer_ms` the
    time at which the last answer was recorded.
    """

    name: str
    failure_domain: str
    term: int = 0
    position: int = 0
    log_term: int = 0
    synced_term: int = 0
    role: EndpointRole = EndpointRole.REPLICA
    last_answer_ms: float | None = None
    newest_sent_ms: float = 0.0
    misses: int = 0
    demotions: int = 0
    primary_silence_ms: float = 0.0
    round_trip_ms: float = INITIAL_ROUND_TRIP_MS

    def record(self, answer: EndpointAnswer, sent_ms: float, now_ms: float) -> bool:
        """Record an answer; return whether a term, the position or the role changed.

        An answer with an older state is ignored if a call that was sent later has
        already been answered.
        """
        is_behind = (answer.term, answer.synced_term, answer.position) < (
            self.term,
            self.synced_term,
            self.position,
        )
        if is_behind and sent_ms < self.newest_sent_ms:
            return False
        before = (self.term, self.position, self.log_term, self.synced_term, self.role)
        self.term = answer.term
        self.position = answer.position
        self.log_term = answer.log_term
        self.synced_term = answer.synced_term
        self.role = answer.role
        self.primary_silence_ms = answer.primary_silence_ms
        self.newest_sent_ms = max(self.newest_sent_ms, sent_ms)
        self.last_answer_ms = now_ms
        return before != (
            answer.term,
            answer.position,
            answer.log_term,
            answer.synced_term,
            answer.role,
        )

    def record_round_trip(self, duration_ms: float) -> None:
        """Add the duration of a probe to the moving average."""
        self.round_trip_ms += SMOOTHING * (duration_ms - self.round_trip_ms)

    def holds(self, term: int, position: int) -> bool:
        """Return whether the endpoint is known to hold a position of a term's log."""
        is_of_term = self.synced_term == term and self.log_term == term
        return is_of_term and self.position >= position
