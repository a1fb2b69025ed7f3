"""The interface to connections with endpoints."""

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
    """The connection ended before a complete reply; the command may have run.

    `is_mismatch` is set if the endpoint has answered, with a reply that belongs to
    another command. The endpoint is alive, and the reply says nothing else.
    """

    reason: str
    is_mismatch: bool = False


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No session was opened.

    `error` is set if the endpoint itself refused the session. `is_unreachable` is set
    if nothing listens at the endpoint's address; an endpoint that only does not answer
    may be crowded.
    """

    reason: str
    error: EndpointError | None = None
    is_unreachable: bool = False

    @property
    def is_at_limit(self) -> bool:
        """Whether the endpoint refused because of its limits, and so is alive."""
        return self.error in (EndpointError.BUSY, EndpointError.TOO_MANY_CONNECTIONS)


class EndpointSession(Protocol):
    """A connection to an endpoint that runs commands in order, one at a time."""

    @property
    def is_open(self) -> bool:
        """Whether commands can be sent."""

    @property
    def position(self) -> Position | None:
        """The log position in the latest reply of the endpoint."""

    def request(
        self, command: EndpointCommand
    ) -> Promise[Result[EndpointReply, ConnectionLost]]:
        """Send a command; more commands may be sent before its reply arrives."""

    def close(self) -> None:
        """Close the connection; the endpoint rolls back an open transaction."""


class EndpointConnector(Protocol):
    """Open connections to endpoints."""

    def connect(
        self, endpoint: Announcement, customer: str = ""
    ) -> Promise[Result[EndpointSession, ConnectFailed]]:
        """Connect to the endpoint on behalf of a customer.

        Fails if the address belongs to another endpoint. Without a customer, the
        connection serves the system itself, and callers that need no key.
        """
