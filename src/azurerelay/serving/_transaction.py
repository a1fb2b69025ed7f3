"""One open transaction."""

from dataclasses import dataclass

from azurerelay.endpoints import EndpointConnection
from azurerelay.serving._endpoint_channel import EndpointChannel


@dataclass(slots=True)
class Transaction:
    """A transaction and its dedicated connection.

    `number` is the transaction's number at the endpoint; times are monotonic.
    """

    name: str
    term: int
    number: int
    channel: EndpointChannel
    connection: EndpointConnection
    started_ms: float
    last_used_ms: float
    is_busy: bool = False
    has_ended: bool = False
