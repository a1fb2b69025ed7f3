"""The whole system in one process, with in-memory links and disks.

Runs on any timer service; faults can be injected.
"""

from azurerelay.embedded._embedded_system import EmbeddedSystem
from azurerelay.embedded._memory_endpoints import MemoryEndpointPort, MemoryEndpoints
from azurerelay.embedded._memory_network import MemoryLink, MemoryNetwork
from azurerelay.embedded._place import Place
from azurerelay.embedded._system_shape import (
    ALERT_DESK,
    CHILDCARE,
    SystemShape,
)

__all__ = [
    "ALERT_DESK",
    "CHILDCARE",
    "EmbeddedSystem",
    "MemoryEndpointPort",
    "MemoryEndpoints",
    "MemoryLink",
    "MemoryNetwork",
    "Place",
    "SystemShape",
]
