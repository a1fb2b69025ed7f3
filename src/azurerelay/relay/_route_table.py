"""The port from sessions to the routes in force."""

from typing import Protocol

from azurerelay.groups import GroupRelay
from azurerelay.routes import Route


class RouteTable(Protocol):
    """Find what serves a database name now."""

    @property
    def version(self) -> int:
        """The version of the configuration in force; -1 before the first."""

    @property
    def transaction_idle_ms(self) -> int:
        """How long a transaction may rest."""

    def find(self, database: str) -> tuple[Route, GroupRelay] | None:
        """Return the route of a database name and its group."""
