"""Timers, promises and coroutines that need neither a clock nor an event loop."""

from azurerelay.timing._coroutines import sleep, spawn, with_timeout
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
    "with_timeout",
]
