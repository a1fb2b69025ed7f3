"""Splitter of a byte stream into lines."""

from collections.abc import Sequence
from typing import Final

from result import Err, Ok, Result

MAX_LINE_BYTES: Final = 1024 * 1024  # the protocol's limit for a message
_LINE_END: Final = b"\r\n"


class LineSplitter:
    """Split a byte stream that arrives in arbitrary pieces into lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._is_ascii = True

    @property
    def size(self) -> int:
        """Number of bytes of the unfinished line."""
        return len(self._buffer)

    @property
    def is_ascii(self) -> bool:
        """Whether the unfinished line takes one byte for each character so far."""
        return self._is_ascii

    def clear(self) -> None:
        """Forget the unfinished line."""
        self._buffer = bytearray()
        self._is_ascii = True

    def feed(self, data: bytes) -> Result[list[str], str]:
        """Add bytes and return the lines that are now complete.

        After an error, the connection must be closed. Unprintable characters are an
        error: the next program on the path could take a bare line feed for the end of
        a message.
        """
        parts: Sequence[bytes | bytearray]
        if self._buffer:
            # The end of a line may be split; what was searched before is not again.
            start = len(self._buffer) - 1
            self._buffer += data
            if self._buffer.find(_LINE_END, start) < 0:
                if len(self._buffer) > MAX_LINE_BYTES:
                    return Err(f"a line is longer than {MAX_LINE_BYTES} bytes")
                self._is_ascii = self._is_ascii and data.isascii()
                return Ok([])
            parts = self._buffer.split(_LINE_END)
        else:
            parts = data.split(_LINE_END)
            if len(parts) == 1 and len(data) > MAX_LINE_BYTES:
                return Err(f"a line is longer than {MAX_LINE_BYTES} bytes")
        self._buffer = bytearray(parts[-1])
        self._is_ascii = self._buffer.isascii()
        lines = []
        for line in parts[:-1]:
            if len(line) > MAX_LINE_BYTES:
                return Err(f"a line is longer than {MAX_LINE_BYTES} bytes")
            try:
                text = line.decode("utf-8")
            except UnicodeDecodeError:
                return Err("a line is not UTF-8")
            if not text.isprintable():
                return Err("a line holds a control character")
            lines.append(text)
        return Ok(lines)
