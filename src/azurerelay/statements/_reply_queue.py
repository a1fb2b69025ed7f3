"""The commands of a connection that have no reply yet."""

from collections import deque

from result import Err, Ok, Result

from azurerelay.statements._commands import EndpointCommand, OpenSession
from azurerelay.statements._endpoint_reply import EndpointReply
from azurerelay.statements._endpoint_session import ConnectionLost
from azurerelay.statements._reply_check import find_mismatch
from azurerelay.statements._session_state import SessionState
from azurerelay.timing import Promise

ReplyPromise = Promise[Result[EndpointReply, ConnectionLost]]


class ReplyQueue:
    """Match replies to commands by their order, and check that each one can be meant.

    After the first reply that cannot be the one to its command, or for which no
    command waits, nothing is known of any reply: the connection must be closed.
    """

    def __init__(self) -> None:
        self._pending: deque[tuple[EndpointCommand | OpenSession, ReplyPromise]] = (
            deque()
        )
        self._state = SessionState.IDLE

    @property
    def oldest(self) -> EndpointCommand | OpenSession | None:
        """The command to which the next reply belongs; None if none waits."""
        return self._pending[0][0] if self._pending else None

    @property
    def size(self) -> int:
        """The number of commands without a reply."""
        return len(self._pending)

    def add(self, command: EndpointCommand | OpenSession) -> ReplyPromise:
        """Add a command that is about to be sent; return a promise of its reply."""
        promise: ReplyPromise = Promise()
        self._pending.append((command, promise))
        return promise

    def find_mismatch(self, reply: EndpointReply) -> str | None:
        """Return why a reply cannot be the one to the oldest command, or None."""
        if not self._pending:
            return "a reply to nothing"
        command = self._pending[0][0]
        reason = find_mismatch(command, self._state, reply)
        return f"{type(command).__name__}: {reason}" if reason else None

    def resolve_oldest(self, reply: EndpointReply) -> None:
        """Resolve the promise of the oldest command, after `find_mismatch`."""
        _, promise = self._pending.popleft()
        self._state = reply.state
        promise.resolve(Ok(reply))

    def fail_all(self, lost: ConnectionLost) -> None:
        """Resolve all promises with the loss of the connection."""
        pending, self._pending = self._pending, deque()
        for _, promise in pending:
            promise.resolve(Err(lost))
