"""Which customers the keys of callers belong to."""

from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from azurerelay.attachment import ConfigurationFreshness
from azurerelay.routes import Customer, Route
from azurerelay.statements import CallerError

# The customer of callers that need no key. Endpoints are told the system's own name.
NO_CUSTOMER: Final = ""
# A key is checked right before its statement is sent, which may take this long to reach
# the endpoint: several round trips between regions.
SENDING_MARGIN_MS: Final = 200.0


class CustomerKeys:
    """Find the customer of a caller by its key.

    An unknown key may belong to a newer configuration, so its caller is asked to retry
    while this host's configuration may be out of date. A known key may have been
    withdrawn by a newer one: it is accepted once a configuration has been confirmed
    since the start of this process. With a `revocation_limit_ms`, the last confirmation
    must not be older than that.
    """

    def __init__(
        self, freshness: ConfigurationFreshness, revocation_limit_ms: float | None
    ) -> None:
        self._freshness = freshness
        self._revocation_limit_ms = revocation_limit_ms
        self._names: dict[str, str] | None = None

    def update(self, customers: Iterable[Customer] | None) -> None:
        """Replace all customers; None if callers need no keys."""
        self._names = None
        if customers is not None:
            self._names = {key: c.name for c in customers for key in c.keys}

    def holds(self, key: str) -> bool:
        """Return whether a text is the key of a customer."""
        return self._names is not None and key in self._names

    def identify(self, route: Route, key: str) -> Result[str, CallerError]:
        """Return the name of a caller's customer, or the error for the caller.

        The name is `NO_CUSTOMER` if the route needs no key and the key is unknown, or
        may have been withdrawn.
        """
        return self.identify_holder(
            route, self._names.get(key) if self._names else None
        )

    def has_customer(self, name: str) -> bool:
        """Return whether a customer with a key has this name."""
        return self._names is not None and name in self._names.values()

    def identify_holder(
        self, route: Route, name: str | None
    ) -> Result[str, CallerError]:
        """Return what `identify` returns for a key of the customer with this name.

        The name is None for a key that no customer holds.
        """
        if self._names is None:
            return Ok(NO_CUSTOMER)
        if name is not None and not self._may_be_withdrawn:
            return Ok(name)
        if route.is_public:
            return Ok(NO_CUSTOMER)
        is_certain = name is None and self._freshness.is_confirmed
        return Err(CallerError.UNKNOWN_KEY if is_certain else CallerError.BUSY)

    @property
    def _may_be_withdrawn(self) -> bool:
        if not self._freshness.has_been_confirmed:
            return True
        if self._revocation_limit_ms is None:
            return False
        return self._freshness.age_ms > self._revocation_limit_ms - SENDING_MARGIN_MS
