"""An entry host: serves groups itself or forwards requests to serving hosts."""

from azurerelay.entry._entry_config import EntryConfig
from azurerelay.entry._entry_node import EntryNode

__all__ = ["EntryConfig", "EntryNode"]
