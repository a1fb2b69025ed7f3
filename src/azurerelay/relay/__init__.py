"""Entry host logic: caller sessions and the routing of their statements."""

from azurerelay.relay._caller_session import HOST_STOPS, CallerSession
from azurerelay.relay._placement_explanation import (
    PlacementError,
    PlacementExplanation,
    PlacementQuery,
    StatementKind,
)
from azurerelay.relay._relay_node import RelayNode
from azurerelay.relay._statement_progress import StatementProgress
from azurerelay.relay._statement_recorder import StatementRecorder
from azurerelay.relay._stop_schedule import StopSchedule, schedule_stop

__all__ = [
    "HOST_STOPS",
    "CallerSession",
    "PlacementError",
    "PlacementExplanation",
    "PlacementQuery",
    "RelayNode",
    "StatementKind",
    "StatementProgress",
    "StatementRecorder",
    "StopSchedule",
    "schedule_stop",
]
