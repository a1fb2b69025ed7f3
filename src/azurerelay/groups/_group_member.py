"""An endpoint of a group, as one host uses it."""

from dataclasses import dataclass, field
from functools import partial
from typing import Final

from azurerelay.pooling import EndpointPool, LagEstimate
from azurerelay.statements import ConnectFailed, Position
from azurerelay.timing import TimerService

# How long a draining primary still gets new statements, and other draining endpoints
# those that wait for a connection, after control has learned that it drains. The
# platform allows seven seconds from its acknowledged heartbeat.
DRAINING_WORK_MS: Final = 5_000.0
DRAINED: Final = ConnectFailed("the endpoint is draining")


@dataclass(slots=True)
class GroupMember:
    """An endpoint of the group, with this host's connections to it.

    `draining_since_ms` is when control learned that it drains; None if it does not.
    """

    pool: EndpointPool
    draining_since_ms: float | None = None
    unlisted_since_ms: float | None = None
    position: Position | None = None
    position_ms: float | None = None
    lag: LagEstimate = field(default_factory=LagEstimate)

    def accepts_work(self, now_ms: float) -> bool:
        """Return whether the endpoint does not drain, or may still get statements."""
        since_ms = self.draining_since_ms
        return since_ms is None or now_ms - since_ms < DRAINING_WORK_MS

    def drain(self, since_ms: float, timers: TimerService) -> None:
        """Record since when the endpoint drains, and end its work in time.

        An earlier time replaces a later one. Statements that wait for the endpoint at
        the end are refused, so that they are tried elsewhere.
        """
        if self.draining_since_ms is None or since_ms < self.draining_since_ms:
            self.draining_since_ms = since_ms
            remaining_ms = since_ms + DRAINING_WORK_MS - timers.now_ms()
            timers.call_later(
                max(0.0, remaining_ms), partial(self._end_queue, since_ms)
            )

    def _end_queue(self, since_ms: float) -> None:
        if self.draining_since_ms == since_ms:
            self.pool.refuse_callers(DRAINED)
