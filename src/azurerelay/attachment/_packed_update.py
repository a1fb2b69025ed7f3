"""Compressed contents of large replies to entry hosts."""

import zlib
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from azurerelay.attachment._messages import DirectoryUpdate
from azurerelay.messages import MalformedFrame, compress, decompress
from azurerelay.routes import ConfigurationChange


@dataclass(frozen=True, slots=True)
class UpdateContents:
    """What an entry host lacks, as far as a reply carries it in compressed form."""

    configuration: ConfigurationChange | None
    directory: DirectoryUpdate | None


_DECODER = msgspec.msgpack.Decoder(UpdateContents)


def pack_update(contents: UpdateContents) -> bytes:
    """Return the compressed contents."""
    return compress(msgspec.msgpack.encode(contents))


def unpack_update(data: bytes) -> Result[UpdateContents, MalformedFrame]:
    """Return the contents, or why they cannot be read."""
    try:
        return Ok(_DECODER.decode(decompress(data)))
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        return Err(MalformedFrame(str(error)))
