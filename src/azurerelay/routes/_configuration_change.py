"""Differences between two versions of the configuration."""

from dataclasses import dataclass

from azurerelay.routes._configuration import Configuration
from azurerelay.routes._database_group import DatabaseGroup
from azurerelay.routes._route import Route


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The changes from the configuration `base_version` to the configuration `version`.

    Hosts receive changes instead of whole configurations: a configuration of hundreds
    of routes would saturate the link of a small host at each change. Base version -1
    means that the change contains the whole configuration.
    """

    base_version: int
    version: int
    routes: tuple[Route, ...]
    dropped_routes: tuple[str, ...]
    groups: tuple[DatabaseGroup, ...]
    transaction_idle_ms: int


def change_between(
    before: Configuration | None, after: Configuration
) -> ConfigurationChange:
    """Return the change from one configuration to another.

    If `before` is None, the change contains the whole configuration.
    """
    old = {route.name: route for route in before.routes} if before else {}
    new_names = {route.name for route in after.routes}
    return ConfigurationChange(
        before.version if before else -1,
        after.version,
        tuple(route for route in after.routes if old.get(route.name) != route),
        tuple(name for name in old if name not in new_names),
        after.groups,
        after.transaction_idle_ms,
    )


def apply_change(
    before: Configuration | None, change: ConfigurationChange
) -> Configuration | None:
    """Return the changed configuration, None if the change has another base version.

    The result has no document, since changes do not carry it.
    """
    if change.base_version == -1:
        routes: dict[str, Route] = {}
    elif before is None or before.version != change.base_version:
        return None
    else:
        routes = {route.name: route for route in before.routes}
    for name in change.dropped_routes:
        routes.pop(name, None)
    routes.update((route.name, route) for route in change.routes)
    return Configuration(
        change.version,
        tuple(routes.values()),
        change.groups,
        change.transaction_idle_ms,
    )
