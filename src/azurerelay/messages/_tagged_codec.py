"""A versioned codec for frozen data classes, one tag a type."""

from collections.abc import Iterable
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from azurerelay.messages._malformed_frame import MalformedFrame

WIRE_VERSION: Final = 1

_Frame = tuple[int, str, msgspec.Raw]


class TaggedCodec:
    """Encode data classes as (version, type name, MessagePack body)."""

    def __init__(self, types: Iterable[type[Any]]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(_Frame)
        self._body_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            message_type.__name__: msgspec.msgpack.Decoder(message_type)
            for message_type in types
        }

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message of one of the codec's types."""
        name = type(message).__name__
        if name not in self._body_decoders:
            raise TypeError(f"{name} is not a message of this codec")
        return self._encoder.encode((WIRE_VERSION, name, message))

    def decode(self, frame: bytes) -> Result[Any, MalformedFrame]:
        """Return the message of a frame, or why there is none."""
        try:
            version, name, body = self._frame_decoder.decode(frame)
            if version != WIRE_VERSION:
                return Err(MalformedFrame(f"version {version} is not {WIRE_VERSION}"))
            decoder = self._body_decoders.get(name)
            if decoder is None:
                return Err(MalformedFrame(f"unknown message type {name!r}"))
            return Ok(decoder.decode(body))
        except (msgspec.MsgspecError, RecursionError) as error:
            return Err(MalformedFrame(str(error)))
