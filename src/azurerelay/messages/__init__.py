"""Typed messages between processes, and the codec that encodes them."""

from azurerelay.messages._compression import compress, decompress, is_compressed
from azurerelay.messages._link import Link
from azurerelay.messages._malformed_frame import MalformedFrame
from azurerelay.messages._requester import Requester
from azurerelay.messages._tagged_codec import TaggedCodec

__all__ = [
    "Link",
    "MalformedFrame",
    "Requester",
    "TaggedCodec",
    "compress",
    "decompress",
    "is_compressed",
]
