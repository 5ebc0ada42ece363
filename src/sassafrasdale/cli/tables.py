"""Plain tables for a terminal."""

from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows under a header, in columns as wide as their content.

    Columns of numbers are aligned to the right, all others to the left.
    """
    lines = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    numeric = [
        bool(rows) and all(isinstance(row[index], int | float) for row in rows)
        for index in range(len(header))
    ]
    return "\n".join(_format_line(line, widths, numeric) for line in lines)


def _format_line(line: list[str], widths: list[int], numeric: list[bool]) -> str:
    cells = [
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(line, widths, numeric, strict=True)
    ]
    return COLUMN_GAP.join(cells).rstrip()
