"""A pooled connection, whose session state is matched to each caller."""

from collections import deque
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from azurerelay.pooling._session_profile import PreparedShape, SessionProfile
from azurerelay.statements import (
    ConnectionLost,
    EndpointCommand,
    EndpointReply,
    EndpointSession,
    Position,
    PrepareShape,
    ResetSession,
    SessionState,
    SetSessionValue,
)
from azurerelay.timing import Promise

# Characters of session values and prepared shapes that were set on a connection. Above
# it, the connection is closed rather than lent to the next caller: a caller may set
# values as large as a message, and nothing else would remove them.
MAX_STATE_LENGTH: Final = 64 * 1024


class PooledSession:
    """Tracks the session state of a connection, and matches it to a caller's profile.

    The state is the session values, the prepared statements and the transaction state.
    An endpoint learns the customer when the connection is opened, so the connection can
    only serve callers of that customer.
    """

    def __init__(
        self,
        endpoint: str,
        session: EndpointSession,
        now_ms: Callable[[], float],
        customer: str = "",
    ) -> None:
        self._now_ms = now_ms
        self._customer = customer
        self._endpoint = endpoint
        self._session = session
        self._values: dict[str, str] = {}
        self._prepared: set[PreparedShape] = set()
        self._state = SessionState.IDLE
        self._sent_ms: deque[float] = deque()
        self._state_length = 0

    @property
    def endpoint(self) -> str:
        """The name of the endpoint."""
        return self._endpoint

    @property
    def customer(self) -> str:
        """The customer whose statements it may carry; empty for those without one."""
        return self._customer

    @property
    def is_open(self) -> bool:
        """Whether commands may be sent."""
        return self._session.is_open

    @property
    def is_reusable(self) -> bool:
        """Whether another caller may use it: open, idle, with no reply outstanding."""
        is_idle = self._state is SessionState.IDLE and not self._sent_ms
        return is_idle and self._session.is_open

    @property
    def state(self) -> SessionState:
        """The session state in the last reply."""
        return self._state

    @property
    def position(self) -> Position | None:
        """The last position that the endpoint reported."""
        return self._session.position

    @property
    def is_oversized(self) -> bool:
        """Whether it keeps more of its callers' values and shapes than is worth it."""
        return self._state_length > MAX_STATE_LENGTH

    @property
    def unanswered_ms(self) -> float:
        """The time since the oldest command without a reply was sent; 0 without one."""
        return self._now_ms() - self._sent_ms[0] if self._sent_ms else 0.0

    def profile_mismatch(self, profile: SessionProfile) -> int:
        """Return the most commands that setting a caller's values takes; 0 for none."""
        if self._values == profile.values:
            return 0
        return 1 + len(profile.values)

    def send(
        self, command: EndpointCommand
    ) -> Promise[Result[EndpointReply, ConnectionLost]]:
        """Send a command and return a promise of its reply."""
        self._sent_ms.append(self._now_ms())
        promise = self._session.request(command)
        promise.add_callback(lambda: self._update_state(promise.value))
        return promise

    def setup_commands(
        self, profile: SessionProfile, statement: PreparedShape | None
    ) -> tuple[EndpointCommand, ...]:
        """Return the commands that must succeed before a caller's statement is sent."""
        commands: list[EndpointCommand] = []
        values, prepared = self._values, self._prepared
        if values.keys() - profile.values.keys():
            commands.append(ResetSession())
            values, prepared = {}, set()
        commands += [
            SetSessionValue(name, value)
            for name, value in profile.values.items()
            if values.get(name) != value
        ]
        if statement is not None and statement not in prepared:
            commands.append(
                PrepareShape(statement.shared_name, statement.shape, statement.is_write)
            )
        return tuple(commands)

    async def apply_profile(
        self, profile: SessionProfile, statement: PreparedShape | None
    ) -> Result[None, str]:
        """Apply a caller's profile and prepare its statement, or return the error."""
        commands = self.setup_commands(profile, statement)
        if not commands:
            return Ok(None)
        promises = [self.send(command) for command in commands]
        for command, promise in zip(commands, promises, strict=True):
            outcome = await promise
            if isinstance(outcome, Err):
                return Err(outcome.err_value.reason)
            if not outcome.ok_value.is_success:
                name = type(command).__name__
                return Err(f"{name} was refused: {outcome.ok_value.error_text}")
            if isinstance(command, ResetSession):
                self._values, self._prepared = {}, set()
                self._state_length = 0
            elif isinstance(command, SetSessionValue):
                self._state_length -= len(self._values.get(command.name, ""))
                self._state_length += len(command.value)
                self._values[command.name] = command.value
            elif isinstance(command, PrepareShape):
                self._state_length += len(command.shape)
        if statement is not None:
            self._prepared.add(statement)
        return Ok(None)

    def forget_prepared(self) -> None:
        """Forget the prepared statements; `apply_profile` then prepares them again."""
        self._prepared.clear()

    def close(self) -> None:
        """Close the connection; the endpoint rolls back an open transaction."""
        self._session.close()

    def _update_state(self, outcome: Result[EndpointReply, ConnectionLost]) -> None:
        self._sent_ms.popleft()
        if isinstance(outcome, Ok):
            self._state = outcome.ok_value.state
