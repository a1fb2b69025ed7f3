"""Promotions that the platform may still carry out, as the log has them."""

from typing import Any, Final

from result import Ok

from azurerelay.consensus import RaftNode
from azurerelay.membership import (
    COMMAND_CODEC,
    ClosePromotions,
    ClusterState,
    OpenPromotion,
    RecordPromotion,
)
from azurerelay.messages import compress
from azurerelay.timing import Promise, TimerService

SWITCHED: Final = "the group has switched"


class OpenPromotions:
    """Records which promotions may still be carried out, for the next leader.

    An order without an answer may be carried out seconds later. The leader that sent it
    may be gone by then, so each promotion is committed to the log before it is ordered,
    and its outcome after that.
    """

    def __init__(
        self, issuer: str, raft: RaftNode, state: ClusterState, timers: TimerService
    ) -> None:
        self._issuer = issuer
        self._raft = raft
        self._state = state
        self._timers = timers

    def endpoints(self, group: str) -> frozenset[str]:
        """Return the endpoints of a group that the platform may still promote."""
        return frozenset(self._state.open_promotions(group))

    async def open(self, group: str, endpoint: str, reason: str) -> bool:
        """Commit that an endpoint may be promoted; return whether that is applied.

        It also proves that this host led the control hosts after the call.
        """
        if endpoint in self.endpoints(group):
            return await self._raft.confirm_leadership()
        command = OpenPromotion(
            self._timers.wall_clock_ms(), self._issuer, group, endpoint, reason
        )
        return isinstance(await self._propose(command), Ok)

    async def close(self, group: str, remaining: frozenset[str], reason: str) -> None:
        """Commit that none but the remaining endpoints will be promoted any more.

        If that is lost, the next leader completes a promotion that has taken effect or
        was refused.
        """
        if self.endpoints(group) - remaining:
            await self._propose(
                ClosePromotions(
                    self._timers.wall_clock_ms(),
                    self._issuer,
                    group,
                    tuple(sorted(remaining)),
                    reason,
                )
            )

    def record_order(self, group: str, endpoint: str, token: int, reason: str) -> None:
        """Record an order in the audit trail only, without waiting for it."""
        self._propose(
            RecordPromotion(
                self._timers.wall_clock_ms(),
                self._issuer,
                group,
                endpoint,
                token,
                reason,
            )
        )

    def _propose(self, command: Any) -> Promise[Any]:
        return self._raft.propose(compress(COMMAND_CODEC.encode(command)))
