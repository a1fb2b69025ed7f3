"""Promotion orders of the control leader to the platform."""

from typing import Final

from azurerelay.cluster._durable_choice import Choice
from azurerelay.consensus import RaftNode
from azurerelay.discovery import EndpointDirectory
from azurerelay.events import EventLog, PromotionAnswered, PromotionDecided
from azurerelay.promotions import PromotionAnswer, PromotionOrder, PromotionPort
from azurerelay.timing import TimerService, sleep

# The platform switches primaries a few hundred milliseconds after it has answered, and
# the new primary announces its role at once.
SWITCH_TIMEOUT_MS: Final = 4_000.0
SWITCH_CHECK_INTERVAL_MS: Final = 100.0
TOKENS_PER_TERM: Final = 1_000_000


class PromotionOrders:
    """Sends orders, each under a new fencing token.

    Tokens are derived from the Raft term, so no two leaders use the same one, and a
    leader uses a higher one with each order. Once the platform has answered an order,
    it refuses any earlier order for the same group that is still under way.
    """

    def __init__(
        self,
        issuer: str,
        raft: RaftNode,
        directory: EndpointDirectory,
        port: PromotionPort,
        timers: TimerService,
        events: EventLog,
    ) -> None:
        self._issuer = issuer
        self._raft = raft
        self._directory = directory
        self._port = port
        self._timers = timers
        self._events = events
        self._order_count = 0
        raft.add_role_listener(self._on_role_change)

    def next_token(self) -> int:
        """Return a fencing token that is higher than any used before."""
        self._order_count += 1
        return self._raft.term * TOKENS_PER_TERM + self._order_count

    async def confirm_leadership(self) -> bool:
        """Return whether a majority confirms this leader, as before each order.

        A leader that was cut off meanwhile may have a successor that has sent orders of
        its own.
        """
        return await self._raft.confirm_leadership() and self._raft.is_ready_leader

    async def send(
        self, group: str, choice: Choice, token: int, reason: str
    ) -> PromotionAnswer:
        """Send an order, and return the platform's answer."""
        endpoint = choice.endpoint
        self._events.record(
            PromotionDecided(group, endpoint, token, reason, choice.reported)
        )
        sent_ms = self._timers.now_ms()
        answer = await self._port.promote(
            PromotionOrder(group, endpoint, self._issuer, token)
        )
        self._events.record(
            PromotionAnswered(
                group,
                endpoint,
                token,
                answer.status,
                self._timers.now_ms() - sent_ms,
            )
        )
        return answer

    async def wait_for_switch(self, endpoint: str) -> bool:
        """Return whether the endpoint is the primary within `SWITCH_TIMEOUT_MS`."""
        deadline_ms = self._timers.now_ms() + SWITCH_TIMEOUT_MS
        while self._timers.now_ms() < deadline_ms:
            record = self._directory.get(endpoint)
            if record is None or record.is_primary or not self._raft.is_leader:
                return record is not None and record.is_primary
            await sleep(self._timers, SWITCH_CHECK_INTERVAL_MS)
        return False

    def _on_role_change(self) -> None:
        self._order_count = 0
