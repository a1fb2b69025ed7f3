"""A versioned codec for frozen data classes, tagged with their class names."""

from collections.abc import Iterable
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from azurerelay.messages._malformed_frame import MalformedFrame

WIRE_VERSION: Final = 1

_Frame = tuple[int, str, msgspec.Raw]


class TaggedCodec:
    """Encode data classes as MessagePack arrays (version, class name, body).

    Renaming a class or a field of it therefore changes the wire format.
    """

    def __init__(self, types: Iterable[type[Any]]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(_Frame)
        self._body_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            message_type.__name__: msgspec.msgpack.Decoder(message_type)
            for message_type in types
        }

    def encode(self, message: Any) -> bytes:
        """Return the frame of a message; TypeError if its type is not registered."""
        name = type(message).__name__
        if name not in self._body_decoders:
            raise TypeError(f"message type {name} is not registered with this codec")
        return self._encoder.encode((WIRE_VERSION, name, message))

    def decode(self, frame: bytes) -> Result[Any, MalformedFrame]:
        """Return the message in a frame, or why it cannot be decoded."""
        try:
            version, name, body = self._frame_decoder.decode(frame)
            if version != WIRE_VERSION:
                return Err(
                    MalformedFrame(f"wire version {version}, expected {WIRE_VERSION}")
                )
            decoder = self._body_decoders.get(name)
            if decoder is None:
                return Err(MalformedFrame(f"unknown message type {name!r}"))
            return Ok(decoder.decode(body))
        except (msgspec.MsgspecError, RecursionError) as error:
            return Err(MalformedFrame(str(error)))
