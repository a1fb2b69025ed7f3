"""All endpoints that have announced themselves."""

from collections.abc import Iterable
from typing import Final

from azurerelay.discovery._announcement import Announcement
from azurerelay.discovery._departure import Departure

DEPARTURE_MEMORY_MS: Final = 60_000.0  # longer than any heartbeat is held up


class EndpointDirectory:
    """The newest announcement of each endpoint, by incarnation and sequence.

    Answers late heartbeats: a partition may deliver one of a dead incarnation after
    a new one, or another endpoint, has taken over its address.
    """

    def __init__(self) -> None:
        self._records: dict[str, Announcement] = {}
        self._heard_ms: dict[str, float] = {}
        self._departures: dict[str, tuple[Departure, float]] = {}
        self._claims: dict[str, int] = {}
        self._claim_count = 0
        self._revision = 0

    @property
    def revision(self) -> int:
        """A number that grows with each change that routing must know."""
        return self._revision

    @property
    def announcements(self) -> tuple[Announcement, ...]:
        """All endpoints that are present."""
        return tuple(self._records.values())

    @property
    def departures(self) -> tuple[Departure, ...]:
        """The endpoints that have lately gone."""
        return tuple(departure for departure, _ in self._departures.values())

    def get(self, endpoint: str) -> Announcement | None:
        """Return an endpoint's newest announcement."""
        return self._records.get(endpoint)

    def group(self, name: str) -> tuple[Announcement, ...]:
        """Return the endpoints of a group."""
        return tuple(r for r in self._records.values() if r.group == name)

    def primaries(self, group: str) -> tuple[Announcement, ...]:
        """Return the endpoints that say that they lead, the newest claim first.

        A primary that crashed keeps its claim until it returns or expires.
        """
        claimants = [r for r in self.group(group) if r.is_primary]
        return tuple(sorted(claimants, key=lambda r: -self._claims[r.endpoint]))

    def silence_ms(self, endpoint: str, now_ms: float) -> float:
        """Return how long ago an endpoint was last heard of."""
        return now_ms - self._heard_ms.get(endpoint, float("-inf"))

    def merge(self, announcement: Announcement, now_ms: float) -> bool:
        """Take an announcement; return False when it is older than what is known."""
        known = self._records.get(announcement.endpoint)
        if known is not None and announcement.order <= known.order:
            return announcement.order == known.order
        departed = self._departures.get(announcement.endpoint)
        if departed and announcement.incarnation <= departed[0].incarnation:
            return False
        for other in self._sharing_address(announcement):
            if other.incarnation > announcement.incarnation:
                return False
            self._forget(other.endpoint)
        self._note_claim(known, announcement)
        self._records[announcement.endpoint] = announcement
        self._heard_ms[announcement.endpoint] = now_ms
        if known is None or not announcement.says_same_as(known):
            self._revision += 1
        return True

    def merge_all(
        self,
        announcements: Iterable[Announcement],
        departures: Iterable[Departure],
        now_ms: float,
    ) -> None:
        """Take what another host knows."""
        for departure in departures:
            self.depart(departure, now_ms)
        for announcement in announcements:
            self.merge(announcement, now_ms)

    def depart(self, departure: Departure, now_ms: float) -> None:
        """Remove an endpoint that says it is gone."""
        known_departure = self._departures.get(departure.endpoint)
        if known_departure and known_departure[0].incarnation >= departure.incarnation:
            return
        self._departures[departure.endpoint] = (departure, now_ms)
        record = self._records.get(departure.endpoint)
        if record is not None and record.incarnation <= departure.incarnation:
            self._forget(departure.endpoint)
        self._revision += 1

    def expire(self, limit_ms: float, now_ms: float) -> tuple[str, ...]:
        """Remove the endpoints that were not heard for the limit; return them."""
        silent = tuple(
            name
            for name, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms > limit_ms
        )
        for name in silent:
            self._forget(name)
            self._revision += 1
        for name, (_, since_ms) in list(self._departures.items()):
            if now_ms - since_ms > DEPARTURE_MEMORY_MS:
                del self._departures[name]
        return silent

    def _sharing_address(self, announcement: Announcement) -> tuple[Announcement, ...]:
        return tuple(
            record
            for record in self._records.values()
            if record.address == announcement.address
            and record.endpoint != announcement.endpoint
        )

    def _note_claim(self, known: Announcement | None, new: Announcement) -> None:
        is_claim_new = (
            known is None
            or not known.is_primary
            or known.incarnation != new.incarnation
        )
        if new.is_primary and is_claim_new:
            self._claim_count += 1
            self._claims[new.endpoint] = self._claim_count

    def _forget(self, endpoint: str) -> None:
        self._records.pop(endpoint, None)
        self._heard_ms.pop(endpoint, None)
        self._claims.pop(endpoint, None)
