"""The explanation of how one request was handled."""


class Explanation:
    """Collect a line per decision if the caller asked for an explanation."""

    def __init__(self, is_wanted: bool) -> None:
        self._is_wanted = is_wanted
        self._lines: list[str] = []

    @property
    def is_wanted(self) -> bool:
        """Whether the caller asked for an explanation."""
        return self._is_wanted

    @property
    def lines(self) -> tuple[str, ...]:
        """The lines recorded so far."""
        return tuple(self._lines)

    def add_line(self, line: str) -> None:
        """Append a line if an explanation is wanted."""
        if self._is_wanted:
            self._lines.append(line)
