"""An entry host: sessions of callers, and routing of their statements."""

from azurerelay.relay._caller_session import CallerSession
from azurerelay.relay._relay_node import RelayNode

__all__ = ["CallerSession", "RelayNode"]
