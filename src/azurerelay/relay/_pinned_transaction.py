"""An open transaction of a caller."""

from dataclasses import dataclass

from azurerelay.groups import GroupConnections
from azurerelay.pooling import EndpointPool, PooledSession
from azurerelay.routes import Route


@dataclass(slots=True)
class PinnedTransaction:
    """An open transaction and the connection that it is pinned to."""

    group: GroupConnections
    pool: EndpointPool
    session: PooledSession
    route: Route
    is_read_only: bool
    has_written: bool = False
