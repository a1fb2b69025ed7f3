"""The configuration, which operators replace as a whole."""

from dataclasses import dataclass, field
from typing import Final

from azurerelay.routes._customer import Customer
from azurerelay.routes._database_group import DatabaseGroup
from azurerelay.routes._route import Route

DEFAULT_TRANSACTION_IDLE_MS: Final = 3_000  # the platform's usual limit


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes and groups under one version; the highest version is in force."""

    version: int
    routes: tuple[Route, ...]
    groups: tuple[DatabaseGroup, ...]
    transaction_idle_ms: int = DEFAULT_TRANSACTION_IDLE_MS
    document: bytes = field(default=b"", repr=False)
    """The operator's document as accepted, so that it is read back unchanged."""
    customers: tuple[Customer, ...] | None = None
    """The customers; None if callers need no keys."""
