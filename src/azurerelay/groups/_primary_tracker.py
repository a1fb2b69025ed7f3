"""The primary of a group, as far as one host can tell."""

from collections.abc import Iterable
from typing import Final

from azurerelay.discovery import Announcement
from azurerelay.statements import Position

# A promoted endpoint may refuse to act as the primary for this long.
NOT_PRIMARY_HOLD_OFF_MS: Final = 100.0


class PrimaryTracker:
    """Rank the endpoints that claim to be the primary, the newest claim first.

    Several endpoints may claim to be the primary at a time: heartbeats may be late,
    and a crashed primary keeps its claim until it restarts or is no longer listed. An
    endpoint that says that it is not the primary is left out for
    `NOT_PRIMARY_HOLD_OFF_MS`, or until it makes a new claim or proves its leadership.
    """

    def __init__(self) -> None:
        # By endpoint name: the number of the claim, and the incarnation that made it.
        self._claims: dict[str, tuple[int, int]] = {}
        self._claim_count = 0
        self._proven_terms: dict[str, int] = {}
        self._not_primary_ms: dict[str, float] = {}

    @property
    def claimants(self) -> frozenset[str]:
        """The endpoints that claim to be the primary."""
        return frozenset(self._claims)

    def update(self, endpoints: Iterable[Announcement]) -> None:
        """Update the claims from the newest announcements of the group.

        A claim ends once its endpoint is missing or announced as a replica. A new
        incarnation of an endpoint makes a new claim.
        """
        known = {endpoint.endpoint: endpoint for endpoint in endpoints}
        for name in list(self._claims):
            announcement = known.get(name)
            if announcement is None or not announcement.is_primary:
                del self._claims[name]
                self._proven_terms.pop(name, None)
        for name, announcement in known.items():
            claim = self._claims.get(name)
            if announcement.is_primary and (
                claim is None or claim[1] != announcement.incarnation
            ):
                self._claim_count += 1
                self._claims[name] = (self._claim_count, announcement.incarnation)
                self._not_primary_ms.pop(name, None)
                self._proven_terms.pop(name, None)

    def record_proof(self, endpoint: str, position: Position) -> bool:
        """Record a leadership proof of an endpoint, at the position that it stated.

        Returns True unless its previous proof was for the same term.
        """
        self._not_primary_ms.pop(endpoint, None)
        is_new_term = self._proven_terms.get(endpoint) != position.term
        self._proven_terms[endpoint] = position.term
        return is_new_term

    def record_not_primary(self, endpoint: str, now_ms: float) -> None:
        """Record that an endpoint says that it is not the primary."""
        self._not_primary_ms[endpoint] = now_ms
        self._proven_terms.pop(endpoint, None)

    def ranked(self, now_ms: float) -> tuple[str, ...]:
        """Return the endpoints that may be the primary, the most likely first."""
        newest_term = max(self._proven_terms.values(), default=0)
        candidates = [
            name
            for name in self._claims
            if now_ms - self._not_primary_ms.get(name, float("-inf"))
            >= NOT_PRIMARY_HOLD_OFF_MS
        ]
        return tuple(
            sorted(
                candidates,
                key=lambda name: (
                    # A newer claim wins even over a proven primary.
                    -self._claims[name][0],
                    newest_term - self._proven_terms.get(name, 0),
                ),
            )
        )
