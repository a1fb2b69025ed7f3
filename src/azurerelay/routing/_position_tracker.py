"""Positions of a group's endpoints within one term."""

from collections.abc import Iterable

from azurerelay.endpoints import EndpointAnswer, EndpointRole
from azurerelay.membership import EndpointRecord
from azurerelay.routing._endpoint_view import EndpointView
from azurerelay.routing._sample_history import SampleHistory
from azurerelay.timing import Promise


class PositionTracker:
    """Follow positions, the confirmed position and staleness of each endpoint."""

    def __init__(self) -> None:
        self._term = 0
        self._primary: str | None = None
        self._quorum = 1
        self._views: dict[str, EndpointView] = {}
        self._samples = SampleHistory()
        self._confirmed = 0
        self._waiters: list[tuple[int, Promise[bool]]] = []
        self._progress: Promise[None] = Promise()

    @property
    def term(self) -> int:
        """The term that is tracked."""
        return self._term

    @property
    def views(self) -> dict[str, EndpointView]:
        """Views by endpoint name; read only."""
        return self._views

    @property
    def confirmed_position(self) -> int:
        """The highest position known to be held by a majority in this term."""
        return self._confirmed

    @property
    def has_waiters(self) -> bool:
        """Whether a write or a read waits for confirmation."""
        return bool(self._waiters)

    @property
    def awaited_position(self) -> int:
        """The lowest position that is waited for; zero when none is."""
        return min((position for position, _ in self._waiters), default=0)

    @property
    def progress(self) -> Promise[None]:
        """A promise that is resolved at the next news of any endpoint."""
        return self._progress

    def configure(
        self,
        term: int,
        primary: str | None,
        quorum: int,
        endpoints: Iterable[EndpointRecord],
    ) -> None:
        """Set the group's term, primary, majority and members.

        A new term starts afresh; without a primary nothing is confirmed.
        """
        self._quorum = quorum
        self._primary = primary
        known = {endpoint.name: endpoint for endpoint in endpoints}
        for name, endpoint in known.items():
            if name not in self._views:
                self._views[name] = EndpointView(name, endpoint.failure_domain)
        for name in set(self._views) - set(known):
            del self._views[name]
        if term != self._term:
            self._begin_term(term)
        else:
            self._advance()

    def observe(
        self, name: str, answer: EndpointAnswer, sent_ms: float, now_ms: float
    ) -> None:
        """Record an answer that was asked for at `sent_ms`."""
        view = self._views.get(name)
        if view is None:
            return
        has_moved = view.record(answer, sent_ms, now_ms)
        is_primary = answer.role is EndpointRole.PRIMARY
        if is_primary and answer.term == self._term:
            self._samples.add(sent_ms, answer.position)
        if has_moved:
            self._advance()
        if has_moved or is_primary:
            self._announce_progress()

    def record_miss(self, name: str) -> int:
        """Count a failed probe and return how many have failed in a row."""
        view = self._views.get(name)
        if view is None:
            return 0
        view.misses += 1
        return view.misses

    def staleness_ms(self, position: int, now_ms: float) -> float | None:
        """Return the greatest age of the state at a position; None when unknown."""
        return self._samples.staleness_ms(position, now_ms)

    def confirmation(self, position: int) -> Promise[bool]:
        """Return True once a majority holds a position, False when the term ends."""
        if position <= self._confirmed:
            return Promise.of(True)
        promise: Promise[bool] = Promise()
        self._waiters.append((position, promise))
        return promise

    def abandon(self, confirmation: Promise[bool]) -> None:
        """Drop a confirmation that nobody waits for any more."""
        self._waiters = [w for w in self._waiters if w[1] is not confirmation]

    def lag_ms(self, position: int) -> float | None:
        """Return how long before the newest sample the primary passed a position."""
        newest_ms = self._samples.newest_ms
        if newest_ms is None:
            return None
        return self._samples.staleness_ms(position, newest_ms)

    def _begin_term(self, term: int) -> None:
        self._term = term
        self._confirmed = 0
        self._samples.clear()
        waiters = self._waiters
        self._waiters = []
        for _, promise in waiters:
            promise.resolve(False)
        self._advance()
        self._announce_progress()

    def _advance(self) -> None:
        holders = [v for v in self._views.values() if v.holds(self._term, 1)]
        if not holders or self._primary is None:
            return
        # A replica's log is a prefix of the primary's, so the primary holds at
        # least the highest position seen, also when its own answer is older. It
        # counts once, also when it has been fenced and answers as a replica.
        positions = [v.position for v in holders if v.name != self._primary]
        positions.append(max(view.position for view in holders))
        if len(positions) < self._quorum:
            return
        confirmed = sorted(positions, reverse=True)[self._quorum - 1]
        if confirmed > self._confirmed:
            self._confirmed = confirmed
            self._settle_waiters()

    def _settle_waiters(self) -> None:
        ready = [p for position, p in self._waiters if position <= self._confirmed]
        self._waiters = [
            (position, p) for position, p in self._waiters if position > self._confirmed
        ]
        for promise in ready:
            promise.resolve(True)

    def _announce_progress(self) -> None:
        progress = self._progress
        self._progress = Promise()
        progress.resolve(None)
