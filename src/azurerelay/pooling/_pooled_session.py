"""A connection to an endpoint that serves one caller after another."""

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


class PooledSession:
    """Keep track of what is set on the connection, and match it to its caller."""

    def __init__(self, endpoint: str, session: EndpointSession) -> None:
        self._endpoint = endpoint
        self._session = session
        self._values: dict[str, str] = {}
        self._prepared: set[PreparedShape] = set()
        self._state = SessionState.IDLE
        self._outstanding = 0

    @property
    def endpoint(self) -> str:
        """The endpoint's name."""
        return self._endpoint

    @property
    def is_open(self) -> bool:
        """Whether commands may be sent."""
        return self._session.is_open

    @property
    def is_reusable(self) -> bool:
        """Whether another caller may have it: idle, with nothing outstanding."""
        is_idle = self._state is SessionState.IDLE and self._outstanding == 0
        return is_idle and self._session.is_open

    @property
    def state(self) -> SessionState:
        """The state that the endpoint stated last."""
        return self._state

    @property
    def position(self) -> Position | None:
        """The position that the endpoint stated last."""
        return self._session.position

    def missing_settings(self, profile: SessionProfile) -> int:
        """Return how many commands it takes to match a caller's values."""
        if self._values == profile.values:
            return 0
        return 1 + len(profile.values)

    def send(
        self, command: EndpointCommand
    ) -> Promise[Result[EndpointReply, ConnectionLost]]:
        """Send one command."""
        self._outstanding += 1
        promise = self._session.request(command)
        promise.add_callback(lambda: self._note(promise.value))
        return promise

    def matching_commands(
        self, profile: SessionProfile, needs: PreparedShape | None
    ) -> tuple[EndpointCommand, ...]:
        """Return what must succeed before a caller's statement may be sent."""
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
        if needs is not None and needs not in prepared:
            commands.append(
                PrepareShape(needs.shared_name, needs.shape, needs.is_write)
            )
        return tuple(commands)

    async def match(
        self, profile: SessionProfile, needs: PreparedShape | None
    ) -> Result[None, str]:
        """Make the connection the caller's own; an error says why it is not."""
        commands = self.matching_commands(profile, needs)
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
            elif isinstance(command, SetSessionValue):
                self._values[command.name] = command.value
        if needs is not None:
            self._prepared.add(needs)
        return Ok(None)

    def forget_prepared(self) -> None:
        """Prepare again what the endpoint says that it does not know."""
        self._prepared.clear()

    def close(self) -> None:
        """Close the connection; the endpoint rolls back what is open."""
        self._session.close()

    def _note(self, outcome: Result[EndpointReply, ConnectionLost]) -> None:
        self._outstanding -= 1
        if isinstance(outcome, Ok):
            self._state = outcome.ok_value.state
