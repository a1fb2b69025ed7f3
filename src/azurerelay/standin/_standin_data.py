"""The replicated log of a stand-in and the key-value data built from it."""

from collections.abc import Iterable

from result import Err, Ok, Result

from azurerelay.endpoints import LogEntry, Row, Scalar, Statement


class StandinData:
    """A log of write statements and the key-value data that results from it.

    The first log entry has position 1. The statements are put (key, value), append
    (key, text), add (key, number), get (key), scan (key prefix) and generate (number
    of rows, width of a row's text).
    """

    def __init__(self) -> None:
        self._log: list[LogEntry] = []
        self._values: dict[str, Scalar] = {}

    @property
    def position(self) -> int:
        """The position of the last log entry; zero if the log is empty."""
        return len(self._log)

    @property
    def log_term(self) -> int:
        """The term of the last log entry; zero if the log is empty."""
        return self._log[-1].term if self._log else 0

    @property
    def values(self) -> dict[str, Scalar]:
        """The current values by key; callers must not modify them."""
        return self._values

    def term_at(self, position: int) -> int | None:
        """Return the term of the entry at a position; zero at 0, None past the end."""
        if position == 0:
            return 0
        return self._log[position - 1].term if position <= len(self._log) else None

    def entries_after(self, position: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to `limit` log entries that follow a position."""
        return tuple(self._log[position : position + limit])

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Append entries to the log and apply their statements to the data."""
        for entry in entries:
            self._log.append(entry)
            for statement in entry.statements:
                run_statement(self._values, statement)

    def execute(self, term: int, statement: Statement) -> Result[tuple[Row, ...], str]:
        """Run one statement and log it if it writes; Err means that nothing changed."""
        outcome = run_statement(self._values, statement)
        if isinstance(outcome, Ok) and is_write_statement(statement):
            self._log.append(LogEntry(term, (statement,)))
        return outcome

    def truncate(self, position: int) -> None:
        """Delete all entries after a position and rebuild the data from the rest."""
        if position >= len(self._log):
            return
        kept = self._log[:position]
        self._log = []
        self._values = {}
        self.append(kept)

    def position_before_term(self, position: int, term: int) -> int:
        """Return the last position up to `position` with a term below `term`, or 0."""
        position = min(position, len(self._log))
        while position > 0 and self._log[position - 1].term >= term:
            position -= 1
        return position


def run_statement(
    values: dict[str, Scalar], statement: Statement
) -> Result[tuple[Row, ...], str]:
    """Run one statement on the values; Err means that nothing changed."""
    text = statement.text
    parameters = statement.parameters
    key = str(parameters[0]) if parameters else ""
    match text, len(parameters):
        case "get", 1:
            return Ok(((values[key],),) if key in values else ())
        case "scan", 1:
            matches = ((k, v) for k, v in sorted(values.items()) if k.startswith(key))
            return Ok(tuple(matches))
        case "generate", 2:
            return _generate(parameters)
        case "put", 2:
            values[key] = parameters[1]
            return Ok(())
        case "append", 2:
            values[key] = f"{values.get(key) or ''}{parameters[1]}"
            return Ok(((values[key],),))
        case "add", 2:
            return _add(values, key, parameters[1])
        case _:
            return Err(f"unknown statement {text!r} with {len(parameters)} parameters")


def is_write_statement(statement: Statement) -> bool:
    """Return whether a statement writes data."""
    return statement.text in ("put", "append", "add")


def _add(
    values: dict[str, Scalar], key: str, amount: Scalar
) -> Result[tuple[Row, ...], str]:
    current = values.get(key) or 0
    if not isinstance(current, int | float) or not isinstance(amount, int | float):
        return Err(f"{key!r} is no number")
    values[key] = current + amount
    return Ok(((values[key],),))


def _generate(parameters: tuple[Scalar, ...]) -> Result[tuple[Row, ...], str]:
    rows, width = parameters
    if not isinstance(rows, int) or not isinstance(width, int):
        return Err("generate takes a number of rows and a width")
    return Ok(tuple((number, "x" * width) for number in range(rows)))
