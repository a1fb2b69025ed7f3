"""The port to one connection of an endpoint."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from azurerelay.discovery import Announcement
from azurerelay.statements._commands import EndpointCommand
from azurerelay.statements._endpoint_reply import EndpointError, EndpointReply
from azurerelay.statements._position import Position
from azurerelay.timing import Promise


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended before the whole answer; what was asked may have run."""

    reason: str


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No session was opened; `error` is set where the endpoint itself refused."""

    reason: str
    error: EndpointError | None = None


class EndpointSession(Protocol):
    """A connection that runs one command after the other."""

    @property
    def is_open(self) -> bool:
        """Whether a command may be sent."""

    @property
    def position(self) -> Position | None:
        """The position that the endpoint stated last."""

    def request(
        self, command: EndpointCommand
    ) -> Promise[Result[EndpointReply, ConnectionLost]]:
        """Send a command; further ones may be sent before it is answered."""

    def close(self) -> None:
        """Close the connection; the endpoint rolls back what is open."""


class EndpointConnector(Protocol):
    """Open sessions."""

    def connect(
        self, endpoint: Announcement
    ) -> Promise[Result[EndpointSession, ConnectFailed]]:
        """Open a session with this very endpoint."""
