"""The settings in force for one group, as typed attributes."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from azurerelay.settings._settings_tree import SettingsTree


@dataclass(frozen=True, slots=True)
class GroupPolicy:
    """The values of all settings that can be set per group."""

    max_staleness_ms: int
    catch_up_wait_ms: int
    durability: str
    hold_ms: int
    timeout_ms: int
    queue_length: int
    connection_percent: int
    probe_interval_ms: int
    probe_timeout_ms: int
    probe_misses: int
    set_size: int
    retention_ms: int
    max_entries: int
    transaction_idle_ms: int
    transaction_max_ms: int
    retry_budget_percent: int
    retry_backoff_ms: int
    endpoints_expected: int
    endpoints_expire_ms: int
    preferred_primary: str
    flap_window_ms: int
    flap_free_changes: int

    @classmethod
    def of(cls, tree: "SettingsTree", group: str) -> "GroupPolicy":
        """Return the settings in force for a group.

        A group that has no node in the tree gets the values of the root.
        """
        path = tree.group_path(group)

        def number(key: str) -> int:
            return int(tree.value(path, key))

        return cls(
            max_staleness_ms=number("reads.max_staleness_ms"),
            catch_up_wait_ms=number("reads.catch_up_wait_ms"),
            durability=str(tree.value(path, "writes.durability")),
            hold_ms=number("writes.hold_ms"),
            timeout_ms=number("requests.timeout_ms"),
            queue_length=number("limits.queue_length"),
            connection_percent=number("limits.connection_percent"),
            probe_interval_ms=number("probes.interval_ms"),
            probe_timeout_ms=number("probes.timeout_ms"),
            probe_misses=number("probes.misses"),
            set_size=number("serving.set_size"),
            retention_ms=number("registry.retention_ms"),
            max_entries=number("registry.max_entries"),
            transaction_idle_ms=number("transactions.idle_ms"),
            transaction_max_ms=number("transactions.max_ms"),
            retry_budget_percent=number("retries.budget_percent"),
            retry_backoff_ms=number("retries.backoff_ms"),
            endpoints_expected=number("endpoints.expected"),
            endpoints_expire_ms=number("endpoints.expire_ms"),
            preferred_primary=str(tree.value(path, "primary.preferred")),
            flap_window_ms=number("failover.flap_window_ms"),
            flap_free_changes=number("failover.flap_free_changes"),
        )
