"""Proposes the commands of the leader's tasks."""

from typing import Any

from result import Ok

from azurerelay.consensus import RaftNode
from azurerelay.membership import COMMAND_CODEC
from azurerelay.timing import spawn


class Proposer:
    """Propose commands to the replicated log.

    `propose_once` admits one pending command for each key, so a check that runs
    again before a command is committed does not repeat it.
    """

    def __init__(self, raft: RaftNode) -> None:
        self._raft = raft
        self._pending: set[str] = set()

    async def propose(self, command: Any) -> Any:
        """Return the command's result once it is applied.

        None is also returned if the proposal was lost; another leader may still
        commit the command.
        """
        outcome = await self._raft.propose(COMMAND_CODEC.encode(command))
        return outcome.ok_value if isinstance(outcome, Ok) else None

    def propose_once(self, key: str, command: Any) -> None:
        """Propose a command unless another with the same key is pending."""
        if key in self._pending:
            return
        self._pending.add(key)
        spawn(self.propose(command)).add_callback(lambda: self._pending.discard(key))

    def is_pending(self, key: str) -> bool:
        """Return whether a command with this key is pending."""
        return key in self._pending
