"""Plain tables."""

from collections.abc import Iterable, Sequence

import typer


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print columns that are as wide as their widest cell."""
    lines = [tuple(header), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        typer.echo("  ".join(cells).rstrip())
