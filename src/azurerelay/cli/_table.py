"""Plain-text tables."""

from collections.abc import Iterable, Sequence

import typer


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a left-aligned table with each column as wide as its widest cell."""
    lines = [tuple(header), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())
