"""Differences between two versions of the configuration."""

from dataclasses import dataclass

from azurerelay.routes._configuration import Configuration
from azurerelay.routes._customer import Customer
from azurerelay.routes._database_group import DatabaseGroup
from azurerelay.routes._route import Route


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The changes from the configuration `base_version` to the configuration `version`.

    Hosts receive changes instead of whole configurations: a configuration of hundreds
    of routes would saturate the link of a small host at each change. Base version -1
    means that the change contains the whole configuration. `customers` holds those that
    were added or changed.
    """

    base_version: int
    version: int
    routes: tuple[Route, ...]
    dropped_routes: tuple[str, ...]
    groups: tuple[DatabaseGroup, ...]
    transaction_idle_ms: int
    customers: tuple[Customer, ...] = ()
    dropped_customers: tuple[str, ...] = ()
    has_customers: bool = False


def change_between(
    before: Configuration | None, after: Configuration
) -> ConfigurationChange:
    """Return the change from one configuration to another.

    If `before` is None, the change contains the whole configuration.
    """
    old = {route.name: route for route in before.routes} if before else {}
    new_names = {route.name for route in after.routes}
    old_customers = _customers_by_name(before)
    customer_names = _customers_by_name(after).keys()
    return ConfigurationChange(
        before.version if before else -1,
        after.version,
        tuple(route for route in after.routes if old.get(route.name) != route),
        tuple(name for name in old if name not in new_names),
        after.groups,
        after.transaction_idle_ms,
        tuple(c for c in after.customers or () if old_customers.get(c.name) != c),
        tuple(name for name in old_customers if name not in customer_names),
        after.customers is not None,
    )


def apply_change(
    before: Configuration | None, change: ConfigurationChange
) -> Configuration | None:
    """Return the changed configuration, None if the change has another base version.

    The result has no document, since changes do not carry it.
    """
    if change.base_version == -1:
        routes: dict[str, Route] = {}
        customers: dict[str, Customer] = {}
    elif before is None or before.version != change.base_version:
        return None
    else:
        routes = {route.name: route for route in before.routes}
        customers = _customers_by_name(before)
    for name in change.dropped_routes:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    for name in change.dropped_customers:
        customers.pop(name, None)
    customers.update((customer.name, customer) for customer in change.customers)
    return Configuration(
        change.version,
        tuple(routes.values()),
        change.groups,
        change.transaction_idle_ms,
        customers=tuple(customers.values()) if change.has_customers else None,
    )


def _customers_by_name(configuration: Configuration | None) -> dict[str, Customer]:
    if configuration is None:
        return {}
    return {customer.name: customer for customer in configuration.customers or ()}
