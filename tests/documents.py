"""Reads the tables of the pages in docs/."""

from __future__ import annotations

import pathlib

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def table_rows(page: str, header: str) -> list[list[str]]:
    """Return the cells of the table whose header starts with a text."""
    lines = (DOCS / page).read_text(encoding="utf-8").splitlines()
    start = next(
        number for number, line in enumerate(lines) if line.startswith(header)
    )
    found = []
    for line in lines[start + 2 :]:
        if not line.startswith("|"):
            break
        cells = line.replace(r"\|", "/").strip().strip("|").split("|")
        found.append([cell.strip().strip("`") for cell in cells])
    return found
