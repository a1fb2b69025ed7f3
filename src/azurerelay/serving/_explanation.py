"""The trail of decisions about one request."""


class Explanation:
    """Collect lines when the caller asked for them."""

    def __init__(self, is_wanted: bool) -> None:
        self._is_wanted = is_wanted
        self._lines: list[str] = []

    @property
    def is_wanted(self) -> bool:
        """Whether lines are kept."""
        return self._is_wanted

    @property
    def lines(self) -> tuple[str, ...]:
        """The lines so far."""
        return tuple(self._lines)

    def note(self, line: str) -> None:
        """Add a line if it is wanted."""
        if self._is_wanted:
            self._lines.append(line)
