"""Log positions of a group's endpoints in the current term."""

from collections.abc import Iterable

from azurerelay.endpoints import EndpointAnswer, EndpointRole
from azurerelay.membership import EndpointRecord
from azurerelay.routing._endpoint_view import EndpointView
from azurerelay.routing._sample_history import SampleHistory
from azurerelay.timing import Promise


class PositionTracker:
    """Tracks endpoint positions, the confirmed position and staleness."""

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
        """The current term of the group."""
        return self._term

    @property
    def views(self) -> dict[str, EndpointView]:
        """The views by endpoint name; callers must not modify the dict."""
        return self._views

    @property
    def confirmed_position(self) -> int:
        """The highest position of this term known to be held by a majority."""
        return self._confirmed

    @property
    def has_waiters(self) -> bool:
        """Whether a request waits for the confirmation of a position."""
        return bool(self._waiters)

    @property
    def awaited_position(self) -> int:
        """The lowest position whose confirmation is waited for; 0 if there is none."""
        return min((position for position, _ in self._waiters), default=0)

    @property
    def progress(self) -> Promise[None]:
        """A promise that is resolved at the next progress.

        This is an answer that changes a view, any answer of an endpoint that has the
        primary role, or a new term.
        """
        return self._progress

    def configure(
        self,
        term: int,
        primary: str | None,
        quorum: int,
        endpoints: Iterable[EndpointRecord],
    ) -> None:
        """Set the group's term, primary, quorum and endpoints.

        A new term resets the confirmed position and the samples, and resolves pending
        confirmations with False. Without a primary no position is confirmed.
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
            self._update_confirmed()

    def record_answer(
        self, name: str, answer: EndpointAnswer, sent_ms: float, now_ms: float
    ) -> None:
        """Record the answer to a call that was sent at `sent_ms`."""
        view = self._views.get(name)
        if view is None:
            return
        has_moved = view.record(answer, sent_ms, now_ms)
        is_primary = answer.role is EndpointRole.PRIMARY
        if is_primary and answer.term == self._term:
            self._samples.add(sent_ms, answer.position)
        if has_moved:
            self._update_confirmed()
        if has_moved or is_primary:
            self._signal_progress()

    def record_miss(self, name: str) -> int:
        """Count a failed probe and return the number of consecutive failures."""
        view = self._views.get(name)
        if view is None:
            return 0
        view.misses += 1
        return view.misses

    def staleness_ms(self, position: int, now_ms: float) -> float | None:
        """Return an upper bound on the staleness of a position; None if unknown."""
        return self._samples.staleness_ms(position, now_ms)

    def confirmation(self, position: int) -> Promise[bool]:
        """Promise True once a majority holds a position, False if the term ends."""
        if position <= self._confirmed:
            return Promise.of(True)
        promise: Promise[bool] = Promise()
        self._waiters.append((position, promise))
        return promise

    def cancel_confirmation(self, confirmation: Promise[bool]) -> None:
        """Stop tracking a confirmation whose caller no longer waits for it."""
        self._waiters = [w for w in self._waiters if w[1] is not confirmation]

    def lag_ms(self, position: int) -> float | None:
        """Return the staleness of a position at the newest sample; None if unknown."""
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
        self._update_confirmed()
        self._signal_progress()

    def _update_confirmed(self) -> None:
        holders = [v for v in self._views.values() if v.holds(self._term, 1)]
        if not holders or self._primary is None:
            return
        # A replica's log is a prefix of the primary's log, so the primary holds at
        # least the highest position seen, even if its own last answer is older. The
        # primary counts once, even if it has been fenced and answers as a replica.
        positions = [v.position for v in holders if v.name != self._primary]
        positions.append(max(view.position for view in holders))
        if len(positions) < self._quorum:
            return
        confirmed = sorted(positions, reverse=True)[self._quorum - 1]
        if confirmed > self._confirmed:
            self._confirmed = confirmed
            self._resolve_waiters()

    def _resolve_waiters(self) -> None:
        ready = [p for position, p in self._waiters if position <= self._confirmed]
        self._waiters = [
            (position, p) for position, p in self._waiters if position > self._confirmed
        ]
        for promise in ready:
            promise.resolve(True)

    def _signal_progress(self) -> None:
        progress = self._progress
        self._progress = Promise()
        progress.resolve(None)
