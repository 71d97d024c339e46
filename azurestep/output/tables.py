"""Tables of plain text."""

from collections.abc import Sequence

GAP = "  "


def format_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table whose columns are as wide as their widest cell.

    Examples
    --------
    >>> print(format_table(["instance", "version"], [["kgn1-1", 7]]))
    instance  version
    kgn1-1    7
    """
    lines = [[str(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_format_line(line, widths) for line in lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return GAP.join(padded).rstrip()
