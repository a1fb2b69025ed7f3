"""Bytes of a connection as lines."""

from typing import Final

from result import Err, Ok, Result

MAX_LINE_BYTES: Final = 1024 * 1024  # the longest message of the protocol
_END: Final = b"\r\n"


class LineSplitter:
    """Return whole lines, however the bytes arrive."""

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> Result[list[str], str]:
        """Return the lines that are whole now; an error ends the connection.

        A line that holds a control character is an error: a bare line feed could be
        read as the end of a message by the next program on the way.
        """
        self._rest += data
        if _END not in self._rest:
            if len(self._rest) > MAX_LINE_BYTES:
                return Err(f"a line is longer than {MAX_LINE_BYTES} bytes")
            return Ok([])
        *whole, rest = bytes(self._rest).split(_END)
        self._rest = bytearray(rest)
        lines = []
        for line in whole:
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
