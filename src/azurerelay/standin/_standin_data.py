"""The replicated log of a stand-in and the data that it builds."""

from collections.abc import Iterable

from result import Err, Ok, Result

from azurerelay.endpoints import LogEntry, Row, Scalar, Statement


class StandinData:
    """A log of statements over a map of keys; positions start at one.

    Statements: put (key, value), append (key, text), add (key, number), get (key),
    scan (prefix), generate (rows, width).
    """

    def __init__(self) -> None:
        self._log: list[LogEntry] = []
        self._values: dict[str, Scalar] = {}

    @property
    def position(self) -> int:
        """The last log position."""
        return len(self._log)

    @property
    def log_term(self) -> int:
        """The term of the last entry."""
        return self._log[-1].term if self._log else 0

    @property
    def values(self) -> dict[str, Scalar]:
        """The current values; read only."""
        return self._values

    def term_at(self, position: int) -> int | None:
        """Return the term of an entry; None when there is none."""
        if position == 0:
            return 0
        return self._log[position - 1].term if position <= len(self._log) else None

    def entries_after(self, position: int, limit: int) -> tuple[LogEntry, ...]:
        """Return up to `limit` entries after a position."""
        return tuple(self._log[position : position + limit])

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries and apply their statements."""
        for entry in entries:
            self._log.append(entry)
            for statement in entry.statements:
                run_statement(self._values, statement)

    def execute(self, term: int, statement: Statement) -> Result[tuple[Row, ...], str]:
        """Run one statement, and log it if it writes; an Err has changed nothing."""
        outcome = run_statement(self._values, statement)
        if isinstance(outcome, Ok) and is_writing(statement):
            self._log.append(LogEntry(term, (statement,)))
        return outcome

    def truncate(self, position: int) -> None:
        """Drop all entries after a position and rebuild the data."""
        if position >= len(self._log):
            return
        kept = self._log[:position]
        self._log = []
        self._values = {}
        self.append(kept)

    def position_before_term(self, position: int, term: int) -> int:
        """Return the last position before this one with an entry of a lower term."""
        position = min(position, len(self._log))
        while position > 0 and self._log[position - 1].term >= term:
            position -= 1
        return position


def run_statement(
    values: dict[str, Scalar], statement: Statement
) -> Result[tuple[Row, ...], str]:
    """Run one statement on the values; an Err has changed nothing."""
    text = statement.text
    parameters = statement.parameters
    key = str(parameters[0]) if parameters else ""
    match text, len(parameters):
        case "get", 1:
            return Ok(((values[key],),) if key in values else ())
        case "scan", 1:
            found = ((k, v) for k, v in sorted(values.items()) if k.startswith(key))
            return Ok(tuple(found))
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


def is_writing(statement: Statement) -> bool:
    """Return whether a statement changes data."""
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
