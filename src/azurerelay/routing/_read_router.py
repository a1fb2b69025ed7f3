"""Choice of the replica that serves a read."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from azurerelay.endpoints import EndpointRole
from azurerelay.routing._endpoint_view import EndpointView
from azurerelay.routing._position_tracker import PositionTracker
from azurerelay.routing._read_constraints import ReadConstraints


class Verdict(Enum):
    """Whether an endpoint may answer a read as a replica, or the reason why not."""

    ELIGIBLE = "eligible"
    IS_PRIMARY = "is the primary"
    NOT_SERVING = "takes no new work"
    UNHEALTHY = "does not answer probes"
    NOT_SYNCED = "does not follow the current primary yet"
    BEHIND_SESSION = "is behind the session"
    LAG_UNKNOWN = "has an unknown lag"
    TOO_STALE = "is beyond the staleness bound"


@dataclass(frozen=True, slots=True)
class RouteCandidate:
    """An endpoint with its verdict, expected response time and staleness."""

    name: str
    verdict: Verdict
    expected_ms: float
    staleness_ms: float | None


class ReadRouter:
    """Chooses a replica for a read.

    Replicas are eligible by session position, staleness bound and health. Of these, the
    one with the lowest expected response time is chosen.
    """

    def __init__(self, tracker: PositionTracker, probe_misses: int) -> None:
        self._tracker = tracker
        self._probe_misses = probe_misses

    def set_probe_misses(self, probe_misses: int) -> None:
        """Set after how many consecutive failed probes an endpoint is unhealthy."""
        self._probe_misses = probe_misses

    def endpoint_verdict(
        self,
        view: EndpointView,
        is_serving: bool,
        constraints: ReadConstraints,
        staleness_ms: float | None,
    ) -> Verdict:
        """Return whether an endpoint may answer a read as a replica, or why not."""
        if view.role is EndpointRole.PRIMARY and view.term == self._tracker.term:
            return Verdict.IS_PRIMARY
        if not is_serving:
            return Verdict.NOT_SERVING
        if view.misses >= self._probe_misses or view.last_answer_ms is None:
            return Verdict.UNHEALTHY
        if view.synced_term != self._tracker.term:
            return Verdict.NOT_SYNCED
        if constraints.term > view.synced_term:
            return Verdict.BEHIND_SESSION
        if view.position < constraints.position:
            return Verdict.BEHIND_SESSION
        if staleness_ms is None:
            return Verdict.LAG_UNKNOWN
        if staleness_ms > constraints.max_staleness_ms:
            return Verdict.TOO_STALE
        return Verdict.ELIGIBLE

    def choose(self, candidates: Iterable[RouteCandidate]) -> RouteCandidate | None:
        """Return the eligible candidate with the lowest expected response time."""
        eligible = [c for c in candidates if c.verdict is Verdict.ELIGIBLE]
        return min(eligible, key=lambda c: (c.expected_ms, c.name), default=None)
