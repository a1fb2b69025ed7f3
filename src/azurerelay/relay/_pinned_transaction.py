"""An open transaction of a caller."""

from dataclasses import dataclass

from azurerelay.groups import GroupRelay
from azurerelay.pooling import EndpointPool, PooledSession
from azurerelay.routes import Route


@dataclass(slots=True)
class PinnedTransaction:
    """An open transaction and the connection that it is pinned to."""

    group: GroupRelay
    pool: EndpointPool
    session: PooledSession
    route: Route
    is_read_only: bool
    has_written: bool = False
