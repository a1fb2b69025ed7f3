"""The codec of all messages on links between processes."""

from typing import Final

from azurerelay.consensus import CONSENSUS_MESSAGES
from azurerelay.control import CONTROL_HOST_MESSAGES
from azurerelay.forwarding import FORWARD_MESSAGES
from azurerelay.membership import CONTROL_MESSAGES
from azurerelay.messages import TaggedCodec
from azurerelay.registry import REGISTRY_MESSAGES

WIRE_CODEC: Final = TaggedCodec(
    (
        *CONSENSUS_MESSAGES,
        *CONTROL_HOST_MESSAGES,
        *CONTROL_MESSAGES,
        *FORWARD_MESSAGES,
        *REGISTRY_MESSAGES,
    )
)
