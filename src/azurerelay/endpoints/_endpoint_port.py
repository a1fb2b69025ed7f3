"""The endpoint port: connections for statements, single requests for the rest."""

from typing import Protocol

from result import Result

from azurerelay.endpoints._calls import EndpointCall
from azurerelay.endpoints._endpoint_answer import EndpointAnswer
from azurerelay.endpoints._endpoint_failure import EndpointFailure
from azurerelay.timing import Promise

CallResult = Result[EndpointAnswer, EndpointFailure]


class EndpointConnection(Protocol):
    """One connection; it closes itself when an answer is lost or late."""

    @property
    def is_open(self) -> bool:
        """Whether another call may be made."""

    def call(self, call: EndpointCall, timeout_ms: float) -> Promise[CallResult]:
        """Make one call; at most one may be outstanding."""

    def close(self) -> None:
        """Close the connection; the endpoint rolls its transaction back."""


class EndpointPort(Protocol):
    """Reach endpoints by their announced address."""

    def connect(
        self, address: str, timeout_ms: float
    ) -> Promise[Result[EndpointConnection, EndpointFailure]]:
        """Open a connection for statements and transactions."""

    def request(
        self, address: str, call: EndpointCall, timeout_ms: float
    ) -> Promise[CallResult]:
        """Make a call that needs no connection: status, fence, promote, follow."""
