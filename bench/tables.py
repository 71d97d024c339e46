"""Markdown tables."""


def table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a table in Markdown."""
    lines = [header, tuple("---" for _ in header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"
