"""Splitter of a byte stream into lines."""

from typing import Final

from result import Err, Ok, Result

MAX_LINE_BYTES: Final = 1024 * 1024  # the protocol's limit for a message
_LINE_END: Final = b"\r\n"


class LineSplitter:
    """Split a byte stream that arrives in arbitrary pieces into lines."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Result[list[str], str]:
        """Add bytes and return the lines that are now complete.

        After an error, the connection must be closed. Unprintable characters are an
        error: the next program on the path could take a bare line feed for the end of
        a message.
        """
        self._buffer += data
        if _LINE_END not in self._buffer:
            if len(self._buffer) > MAX_LINE_BYTES:
                return Err(f"a line is longer than {MAX_LINE_BYTES} bytes")
            return Ok([])
        *complete, rest = bytes(self._buffer).split(_LINE_END)
        self._buffer = bytearray(rest)
        lines = []
        for line in complete:
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
