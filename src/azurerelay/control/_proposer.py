"""Proposes commands of the leader's duties."""

from typing import Any

from result import Ok

from azurerelay.consensus import RaftNode
from azurerelay.membership import COMMAND_CODEC
from azurerelay.timing import spawn


class Proposer:
    """Propose commands, one of a kind at a time where asked to."""

    def __init__(self, raft: RaftNode) -> None:
        self._raft = raft
        self._pending: set[str] = set()

    async def propose(self, command: Any) -> Any:
        """Return the command's result, or None when it was not committed here."""
        outcome = await self._raft.propose(COMMAND_CODEC.encode(command))
        return outcome.ok_value if isinstance(outcome, Ok) else None

    def propose_once(self, key: str, command: Any) -> None:
        """Propose a command unless another with the same key is under way."""
        if key in self._pending:
            return
        self._pending.add(key)
        spawn(self.propose(command)).add_callback(lambda: self._pending.discard(key))

    def is_pending(self, key: str) -> bool:
        """Return whether a command with this key is under way."""
        return key in self._pending
