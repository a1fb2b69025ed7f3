"""Control hosts: the replicated cluster state and the tasks of their leader."""

from azurerelay.control._control_config import ControlConfig
from azurerelay.control._control_node import ControlNode
from azurerelay.control._control_status import ControlStatus, GroupStatus, HostStatus
from azurerelay.control._corrupt_state_error import CorruptStateError
from azurerelay.control._leader_controller import LeaderController
from azurerelay.control._messages import CONTROL_HOST_MESSAGES

__all__ = [
    "CONTROL_HOST_MESSAGES",
    "ControlConfig",
    "ControlNode",
    "ControlStatus",
    "CorruptStateError",
    "GroupStatus",
    "HostStatus",
    "LeaderController",
]
