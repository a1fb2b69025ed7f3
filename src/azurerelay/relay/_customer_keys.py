"""Which customers the keys of callers belong to."""

from collections.abc import Iterable
from typing import Final

from result import Err, Ok, Result

from azurerelay.attachment import ConfigurationFreshness
from azurerelay.routes import Customer, Route
from azurerelay.statements import CallerError

# The customer of callers that need no key. Endpoints are told the system's own name.
NO_CUSTOMER: Final = ""
# A statement may be sent this long after its key was checked; about the time that a
# statement waits for a connection.
KEY_CHECK_MARGIN_MS: Final = 500.0


class CustomerKeys:
    """Find the customer of a caller by its key.

    An unknown key may belong to a newer configuration, so its caller is asked to retry
    while this host's configuration may be out of date. With a `revocation_limit_ms`, a
    key may also be withdrawn by a newer one: no key is accepted while the configuration
    has been unconfirmed for that long. Without a limit, the known keys are accepted.
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

    def identify(self, route: Route, key: str) -> Result[str, CallerError]:
        """Return the name of a caller's customer, or the error for the caller.

        The name is `NO_CUSTOMER` if the route needs no key and the key is unknown.
        """
        if self._names is None:
            return Ok(NO_CUSTOMER)
        name = self._names.get(key)
        if name is None and route.is_public:
            return Ok(NO_CUSTOMER)
        if name is None:
            is_certain = self._freshness.is_confirmed
            return Err(CallerError.UNKNOWN_KEY if is_certain else CallerError.BUSY)
        if self._may_be_revoked and not route.is_public:
            return Err(CallerError.BUSY)
        return Ok(name)

    @property
    def _may_be_revoked(self) -> bool:
        if self._revocation_limit_ms is None:
            return False
        limit_ms = self._revocation_limit_ms - KEY_CHECK_MARGIN_MS
        return self._freshness.age_ms > limit_ms
