"""Entry host logic: caller sessions and the routing of their statements."""

from azurerelay.relay._caller_session import CallerSession
from azurerelay.relay._relay_node import RelayNode
from azurerelay.relay._statement_progress import StatementProgress
from azurerelay.relay._statement_recorder import StatementRecorder

__all__ = ["CallerSession", "RelayNode", "StatementProgress", "StatementRecorder"]
