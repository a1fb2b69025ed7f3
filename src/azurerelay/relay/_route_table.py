"""The interface through which sessions look up routes."""

from typing import Protocol

from result import Result

from azurerelay.groups import GroupConnections
from azurerelay.routes import Route
from azurerelay.statements import CallerError


class RouteTable(Protocol):
    """Look up the route and the group that currently serve a database name."""

    @property
    def version(self) -> int:
        """The version of the configuration in force; -1 before the first."""

    @property
    def transaction_idle_ms(self) -> int:
        """How long a transaction may stay idle, in milliseconds."""

    @property
    def accepts_transactions(self) -> bool:
        """Whether transactions are started; False while the host is being stopped."""

    @property
    def accepts_statements(self) -> bool:
        """Whether statements are sent; False while the host is being stopped."""

    def admit(self, customer: str) -> str | None:
        """Decide whether an operation of a customer may start; why not, or None."""

    def record_started(self, customer: str, waited_ms: float) -> None:
        """Record that the first attempt of an admitted operation was sent."""

    def refund(self, customer: str, waited_ms: float) -> None:
        """Record that an admitted operation ended, and no attempt was sent."""

    def find_route(self, database: str) -> tuple[Route, GroupConnections] | None:
        """Return the route of a database name and its group, None if unknown."""

    def identify(self, route: Route, key: str) -> Result[str, CallerError]:
        """Return the customer of a caller by its key, or the error for the caller.

        The name is empty for callers that need no key.
        """

    def record_refused_key(self, database: str, error: CallerError) -> None:
        """Record that a caller was refused because of its key."""

    def refuse_database(self, database: str) -> CallerError:
        """Record that a database has no route; return the error for the caller."""
