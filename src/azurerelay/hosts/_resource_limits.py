"""The budgets of a host process, and the reports of what they refuse."""

from typing import Final

from azurerelay.budgets import ByteBudget, ProcessLimits
from azurerelay.events import ConnectionDropped, EventLog, NullEventLog
from azurerelay.platform import HostSettings
from azurerelay.telemetry import Meters
from azurerelay.timing import TimerService

MEMORY: Final = "memory"
DESCRIPTORS: Final = "descriptors"


def unlimited_resources() -> "ResourceLimits":
    """Return the limits of a process whose settings have none."""
    return ResourceLimits(ProcessLimits(), None, NullEventLog(), Meters())


class ResourceLimits:
    """The byte budget that all services of a process share, and its other limits."""

    def __init__(
        self,
        limits: ProcessLimits,
        timers: TimerService | None,
        events: EventLog,
        meters: Meters,
    ) -> None:
        self._limits = limits
        self._budget = ByteBudget(limits.budget_bytes, timers)
        self._events = events
        self._meters = meters

    @classmethod
    def of_settings(
        cls,
        settings: HostSettings,
        timers: TimerService,
        events: EventLog,
        meters: Meters,
    ) -> "ResourceLimits":
        """Return the limits of a settings file."""
        limits = ProcessLimits(settings.memory_bytes, settings.file_descriptors)
        return cls(limits, timers, events, meters)

    @property
    def limits(self) -> ProcessLimits:
        """The limits of the settings."""
        return self._limits

    @property
    def budget(self) -> ByteBudget:
        """The bytes that all connections share."""
        return self._budget

    def gauges(self) -> dict[str, float]:
        """Return the metrics of the byte budget."""
        return {
            "memory_budget_held_bytes": float(self._budget.held),
            "memory_budget_waiting_connections": float(self._budget.waiting_count),
            "memory_budget_waits": float(self._budget.wait_count),
        }

    def report_dropped(self, service: str, reason: str, held_bytes: int = 0) -> None:
        """Record that a connection of a service was closed for want of a resource."""
        self._meters.count("connections_dropped_total", service=service, reason=reason)
        self._events.record(ConnectionDropped(service, reason, held_bytes))
