"""Status queries from the control leader to endpoints."""

from typing import Final

from result import Err, Result

from azurerelay.cluster._primary_contact import PrimaryContact
from azurerelay.discovery import Announcement, EndpointDirectory
from azurerelay.statements import (
    BeginTransaction,
    ConnectFailed,
    EndpointConnector,
    EndpointError,
    EndpointReply,
    EndpointSession,
    PauseReceiving,
    Position,
    QueryStatus,
    ResumeReceiving,
    RollbackTransaction,
    StatusCommand,
)
from azurerelay.timing import TimerService, spawn, with_timeout

# A status query may wait behind a full queue of the endpoint. An endpoint that has not
# answered within this time is left out, since callers fail while there is no primary.
STATUS_TIMEOUT_MS: Final = 350.0
MAINTENANCE_INTERVAL_MS: Final = 1_000.0
# Six round trips between regions. A BEGIN takes no slot, so it does not wait behind the
# statements of callers.
CONTACT_TIMEOUT_MS: Final = 150.0
# The first reply tells the newest term, if the term of the request was too low.
MAX_PAUSE_ATTEMPTS: Final = 2


class EndpointStatusClient:
    """Queries endpoints over connections that are kept open while this host leads.

    The connections are opened in advance because endpoints are often overloaded when
    their primary is lost: a new connection would then wait behind those of all callers
    or be refused.
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
        self._queried: set[tuple[str, int]] = set()

    def maintain_connections(self, is_leading: bool) -> None:
        """Open missing connections and close those that are no longer needed.

        While `is_leading`, there is one connection to each incarnation of an endpoint
        that is not draining; otherwise there is none. Call this at regular intervals.
        """
        wanted = {
            (a.endpoint, a.incarnation): a
            for a in self._directory.announcements
            if is_leading and not a.is_draining
        }
        for key in list(self._sessions):
            is_needed = key in wanted or key in self._queried
            if not is_needed or not self._sessions[key].is_open:
                self._sessions.pop(key).close()
        for key, endpoint in wanted.items():
            if key not in self._sessions and key not in self._connecting:
                spawn(self._connect(endpoint))

    async def received_position(self, endpoint: Announcement) -> Position | None:
        """Return the position up to which an endpoint has received the log.

        If the endpoint answers with an error, the last position it reported is returned
        instead. Returns None if it cannot be reached or does not answer in time, or if
        a connection to it is still being opened.
        """
        key = (endpoint.endpoint, endpoint.incarnation)
        if key not in self._sessions and key not in self._connecting:
            await with_timeout(
                self._timers, spawn(self._connect(endpoint)), STATUS_TIMEOUT_MS
            )
        session = self._sessions.get(key)
        if session is None:
            return None
        answer = await with_timeout(
            self._timers, session.request(QueryStatus()), STATUS_TIMEOUT_MS
        )
        if isinstance(answer, Err) or isinstance(answer.ok_value, Err):
            session.close()
            return None
        reply = answer.ok_value.ok_value
        return reply.received if reply.is_success else session.position

    async def query_received(
        self, endpoint: Announcement, timeout_ms: float
    ) -> Position | None:
        """Return the position up to which an endpoint states to have received the log.

        Returns None if it refuses to state it, cannot be reached, or does not answer
        in time. Its connection is closed after a timeout.
        """
        reply = await self._request(endpoint, QueryStatus(), timeout_ms)
        return reply.received if reply is not None else None

    async def pause(self, endpoint: Announcement, timeout_ms: float) -> Position | None:
        """Stop a replica from receiving; return what it has received by then.

        Returns None if it is not known to be paused.
        """
        session = await self._open_session(endpoint, timeout_ms)
        position = session.position if session is not None else None
        term = (position.term if position is not None else 0) + 1
        for _ in range(MAX_PAUSE_ATTEMPTS):
            reply = await self._request(endpoint, PauseReceiving(term), timeout_ms)
            # A primary is not paused; the directory may not know its role yet.
            if reply is None or reply.term is None or not reply.is_replica:
                return None
            if reply.term < term:
                return reply.received
            term = reply.term + 1
        return None

    async def resume(self, endpoint: Announcement, timeout_ms: float) -> bool:
        """Let a replica receive again; return whether it is known not to be paused.

        An endpoint that refuses the command does not know how to pause, either.
        """
        reply = await self._request(endpoint, ResumeReceiving(), timeout_ms)
        return reply is not None and reply.error is not EndpointError.BUSY

    async def _request(
        self,
        endpoint: Announcement,
        command: StatusCommand,
        timeout_ms: float,
    ) -> EndpointReply | None:
        key = (endpoint.endpoint, endpoint.incarnation)
        self._queried.add(key)
        try:
            session = await self._open_session(endpoint, timeout_ms)
            if session is None:
                return None
            answer = await with_timeout(
                self._timers, session.request(command), timeout_ms
            )
            if isinstance(answer, Err) or isinstance(answer.ok_value, Err):
                session.close()
                return None
            return answer.ok_value.ok_value
        finally:
            self._queried.discard(key)

    async def _open_session(
        self, endpoint: Announcement, timeout_ms: float
    ) -> EndpointSession | None:
        key = (endpoint.endpoint, endpoint.incarnation)
        session = self._sessions.get(key)
        if (session is None or not session.is_open) and key not in self._connecting:
            await with_timeout(self._timers, spawn(self._connect(endpoint)), timeout_ms)
            session = self._sessions.get(key)
        return session if session is not None and session.is_open else None

    async def contact_primary(self, endpoint: Announcement) -> PrimaryContact:
        """Open and roll back a read-write transaction, which only a primary accepts.

        Both replies are needed: a reply to BEGIN alone may belong to an earlier one.
        """
        key = (endpoint.endpoint, endpoint.incarnation)
        session = self._sessions.get(key)
        if session is None or not session.is_open:
            return await self._contact_by_connecting(endpoint)
        begun = session.request(BeginTransaction())
        rolled_back = session.request(RollbackTransaction())
        answer = await with_timeout(self._timers, begun, CONTACT_TIMEOUT_MS)
        if isinstance(answer, Err):
            session.close()
            return PrimaryContact.SILENT
        if isinstance(answer.ok_value, Err):
            session.close()
            is_alive = answer.ok_value.err_value.is_mismatch
            return PrimaryContact.ANSWERED if is_alive else PrimaryContact.SILENT
        ended = await with_timeout(self._timers, rolled_back, CONTACT_TIMEOUT_MS)
        if isinstance(ended, Err) or isinstance(ended.ok_value, Err):
            session.close()
            return PrimaryContact.ANSWERED
        reply = answer.ok_value.ok_value
        if reply.is_success:
            return PrimaryContact.PROVEN
        if reply.error is EndpointError.NOT_PRIMARY:
            return PrimaryContact.DENIED
        return PrimaryContact.ANSWERED

    async def _contact_by_connecting(self, endpoint: Announcement) -> PrimaryContact:
        if (endpoint.endpoint, endpoint.incarnation) in self._connecting:
            return PrimaryContact.UNKNOWN
        outcome = await with_timeout(
            self._timers, spawn(self._connect(endpoint)), CONTACT_TIMEOUT_MS
        )
        if isinstance(outcome, Err) or outcome.ok_value is None:
            return PrimaryContact.UNKNOWN
        failure = outcome.ok_value
        if failure.is_at_limit:
            return PrimaryContact.ANSWERED
        if failure.error is not None:
            return PrimaryContact.DENIED
        if failure.is_unreachable:
            return PrimaryContact.UNREACHABLE
        return PrimaryContact.UNKNOWN

    async def _connect(self, endpoint: Announcement) -> ConnectFailed | None:
        """Open a connection; return the failure, or None if it is open."""
        key = (endpoint.endpoint, endpoint.incarnation)
        self._connecting.add(key)
        outcome: Result[EndpointSession, ConnectFailed]
        try:
            outcome = await self._connector.connect(endpoint)
        except Exception as error:
            # The connections to other endpoints are opened by the same loop.
            outcome = Err(ConnectFailed(f"unexpected error: {error!r}"))
        self._connecting.discard(key)
        if isinstance(outcome, Err):
            return outcome.err_value
        previous = self._sessions.get(key)
        if previous is not None:
            previous.close()
        self._sessions[key] = outcome.ok_value
        return None
