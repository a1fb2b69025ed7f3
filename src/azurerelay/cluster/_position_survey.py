"""How far the logs of a group's endpoints reach, asked by the leader of control."""

from typing import Final

from result import Err, Ok

from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.statements import (
    AskStatus,
    EndpointConnector,
    EndpointSession,
    Position,
)
from azurerelay.timing import TimerService, spawn, within

# A status waits behind a full queue of the endpoint at worst; without it the position
# that was stated last must do, since every moment without a primary costs callers.
STATUS_TIMEOUT_MS: Final = 350.0
KEEP_INTERVAL_MS: Final = 1_000.0


class PositionSurvey:
    """Keep a connection to each endpoint while this host leads, and ask over it.

    Answers endpoints that are overloaded when their primary is lost: a new connection
    would wait for a slot behind all callers, or be refused.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        connector: EndpointConnector,
        timers: TimerService,
    ) -> None:
        self._directory = directory
        self._connector = connector
        self._timers = timers
        self._sessions: dict[tuple[str, int], EndpointSession] = {}
        self._connecting: set[tuple[str, int]] = set()

    def keep(self, is_leading: bool) -> None:
        """Open what is missing and close what is not needed; called regularly."""
        wanted = {
            (a.endpoint, a.incarnation): a
            for a in self._directory.announcements
            if is_leading and not a.is_draining
        }
        for key in list(self._sessions):
            if key not in wanted or not self._sessions[key].is_open:
                self._sessions.pop(key).close()
        for key, endpoint in wanted.items():
            if key not in self._sessions and key not in self._connecting:
                spawn(self._connect(endpoint))

    async def received(self, endpoint: Announcement) -> Position | None:
        """Return how far an endpoint's log reaches; None if it does not answer."""
        key = (endpoint.endpoint, endpoint.incarnation)
        if key not in self._sessions and key not in self._connecting:
            await within(
                self._timers, spawn(self._connect(endpoint)), STATUS_TIMEOUT_MS
            )
        session = self._sessions.get(key)
        if session is None:
            return None
        answer = await within(
            self._timers, session.request(AskStatus()), STATUS_TIMEOUT_MS
        )
        if isinstance(answer, Err) or isinstance(answer.ok_value, Err):
            session.close()
            return None
        reply = answer.ok_value.ok_value
        return reply.received if reply.is_success else session.position

    async def _connect(self, endpoint: Announcement) -> None:
        key = (endpoint.endpoint, endpoint.incarnation)
        self._connecting.add(key)
        outcome = await self._connector.connect(endpoint)
        self._connecting.discard(key)
        if isinstance(outcome, Ok):
            before = self._sessions.get(key)
            if before is not None:
                before.close()
            self._sessions[key] = outcome.ok_value
