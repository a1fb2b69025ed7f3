"""Port to endpoints: connections for statements, single requests for the rest."""

from typing import Protocol

from result import Result

from azurerelay.endpoints._calls import EndpointCall
from azurerelay.endpoints._endpoint_answer import EndpointAnswer
from azurerelay.endpoints._endpoint_failure import EndpointFailure
from azurerelay.timing import Promise

CallResult = Result[EndpointAnswer, EndpointFailure]


class EndpointConnection(Protocol):
    """A connection, which closes itself when an answer is lost or times out."""

    @property
    def is_open(self) -> bool:
        """Whether calls can still be made."""

    def call(self, call: EndpointCall, timeout_ms: float) -> Promise[CallResult]:
        """Make a call; there may be at most one outstanding at a time."""

    def close(self) -> None:
        """Close the connection; the endpoint rolls back its open transaction."""


class EndpointPort(Protocol):
    """Access to endpoints by the address that they have announced."""

    def connect(
        self, address: str, timeout_ms: float
    ) -> Promise[Result[EndpointConnection, EndpointFailure]]:
        """Open a connection for statements and transactions."""

    def request(
        self, address: str, call: EndpointCall, timeout_ms: float
    ) -> Promise[CallResult]:
        """Make a call that needs no connection, such as status, fence or promote."""
