"""An entry host: answers callers, serving groups itself or passing requests on."""

from azurerelay.entry._entry_config import EntryConfig
from azurerelay.entry._entry_node import EntryNode

__all__ = ["EntryConfig", "EntryNode"]
