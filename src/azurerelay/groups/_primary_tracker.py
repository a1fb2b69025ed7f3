"""Which endpoint of a group leads, as far as one host can tell."""

from collections.abc import Iterable
from typing import Final

from azurerelay.discovery import Announcement
from azurerelay.statements import Position

REFUTED_MS: Final = 100.0  # a promoted endpoint may need this long to lead


class PrimaryTracker:
    """Rank the endpoints that may lead: by proven term, then by newest claim.

    Answers changes of primary: heartbeats may be late, and a crashed primary keeps
    its claim until it returns, so a claim counts less than a proof.
    """

    def __init__(self) -> None:
        self._claims: dict[str, tuple[int, int]] = {}
        self._claim_count = 0
        self._proven_terms: dict[str, int] = {}
        self._refuted_ms: dict[str, float] = {}

    @property
    def claimants(self) -> frozenset[str]:
        """The endpoints that say that they lead."""
        return frozenset(self._claims)

    def update(self, endpoints: Iterable[Announcement]) -> None:
        """Take the group's newest announcements."""
        known = {endpoint.endpoint: endpoint for endpoint in endpoints}
        for name in list(self._claims):
            record = known.get(name)
            if record is None or not record.is_primary:
                del self._claims[name]
                self._proven_terms.pop(name, None)
        for name, record in known.items():
            claim = self._claims.get(name)
            if record.is_primary and (claim is None or claim[1] != record.incarnation):
                self._claim_count += 1
                self._claims[name] = (self._claim_count, record.incarnation)
                self._refuted_ms.pop(name, None)
                self._proven_terms.pop(name, None)

    def prove(self, endpoint: str, position: Position) -> bool:
        """Record that an endpoint leads; return True when that is news."""
        self._refuted_ms.pop(endpoint, None)
        is_news = self._proven_terms.get(endpoint) != position.term
        self._proven_terms[endpoint] = position.term
        return is_news

    def refute(self, endpoint: str, now_ms: float) -> None:
        """Record that an endpoint says that it does not lead."""
        self._refuted_ms[endpoint] = now_ms
        self._proven_terms.pop(endpoint, None)

    def ranked(self, now_ms: float) -> tuple[str, ...]:
        """Return the endpoints that may lead now, the most likely first."""
        newest_term = max(self._proven_terms.values(), default=0)
        likely = [
            name
            for name in self._claims
            if now_ms - self._refuted_ms.get(name, float("-inf")) >= REFUTED_MS
        ]
        return tuple(
            sorted(
                likely,
                key=lambda name: (
                    # An unproven claim that is newer than the proven leader's wins.
                    -self._claims[name][0],
                    newest_term - self._proven_terms.get(name, 0),
                ),
            )
        )
