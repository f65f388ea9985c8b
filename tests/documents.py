"""Reads the Markdown tables of the pages in docs/."""

from __future__ import annotations

import pathlib

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def table_rows(page: str, header: str) -> list[list[str]]:
    """Return the cells of a Markdown table, row by row.

    Parameters
    ----------
    page : str
        File name of the page in `docs/`.
    header : str
        Start of the header line of the table.
    """
    lines = (DOCS / page).read_text(encoding="utf-8").splitlines()
    header_index = next(
        index for index, line in enumerate(lines) if line.startswith(header)
    )
    rows = []
    for line in lines[header_index + 2 :]:
        if not line.startswith("|"):
            break
        cells = line.replace(r"\|", "/").strip().strip("|").split("|")
        rows.append([cell.strip().strip("`") for cell in cells])
    return rows
