"""When a host that is being stopped ends each part of its service."""

from dataclasses import dataclass
from typing import Final

# The platform routes new callers elsewhere after two failed readiness checks, which
# are one second apart.
ACCEPT_WHILE_STOPPING_MS: Final = 2_300.0
MAX_ACCEPT_SHARE: Final = 0.4  # of the grace period, where that is short
# Open transactions may take half of the grace period, so later ones are refused.
TRANSACTION_SHARE: Final = 0.5
# Time for an endpoint with a full queue to answer a statement.
ANSWER_TIME_MS: Final = 1_000.0
MIN_SEND_SHARE: Final = 0.5  # of the time until the last answer
# Part of the grace period that is left to send the last replies, to close all
# connections and to end the process, also on a busy machine.
EXIT_SHARE: Final = 1 / 6


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The last times of each part of the service, in milliseconds after the stop began.

    Callers are served as before until `close_idle_ms`. From then on, their connections
    are closed as soon as they are idle. Later statements can only be served in part: an
    endpoint needs time to answer, and a caller whose statement is cut off cannot know
    whether it has run. So transactions are started until `last_begin_ms`, statements
    are sent until `last_send_ms`, and endpoints may answer until `last_answer_ms`.
    """

    close_idle_ms: float
    last_begin_ms: float
    last_send_ms: float
    last_answer_ms: float


def schedule_stop(grace_period_ms: float) -> StopSchedule:
    """Divide the time between the request to stop and the kill of the process."""
    last_answer_ms = (1.0 - EXIT_SHARE) * grace_period_ms
    last_send_ms = max(MIN_SEND_SHARE * last_answer_ms, last_answer_ms - ANSWER_TIME_MS)
    return StopSchedule(
        min(ACCEPT_WHILE_STOPPING_MS, MAX_ACCEPT_SHARE * grace_period_ms),
        min(TRANSACTION_SHARE * grace_period_ms, last_send_ms),
        last_send_ms,
        last_answer_ms,
    )
