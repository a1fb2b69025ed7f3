"""Time and deferred results for decisions, without a clock or an event loop."""

from azurerelay.timing._flow import sleep, spawn, within
from azurerelay.timing._manual_timer_service import ManualTimerService
from azurerelay.timing._promise import Promise, gather
from azurerelay.timing._scoped_timer_service import ScopedTimerService
from azurerelay.timing._timed_out import TimedOut
from azurerelay.timing._timer_service import Timer, TimerService

__all__ = [
    "ManualTimerService",
    "Promise",
    "ScopedTimerService",
    "TimedOut",
    "Timer",
    "TimerService",
    "gather",
    "sleep",
    "spawn",
    "within",
]
