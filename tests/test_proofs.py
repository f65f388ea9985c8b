"""The page of proofs names tests that exist."""

from __future__ import annotations

import pathlib
import re

from tests import documents

ROOT = pathlib.Path(__file__).parent
_NAME = re.compile(r"`([a-z_/]+)::(test_[a-z0-9_]+)(?:\[\w+\])?`")


def test_page_names_existing_tests() -> None:
    """Guards against a proof that was renamed or removed."""
    text = (documents.DOCS / "proofs.md").read_text(encoding="utf-8")
    named = set(_NAME.findall(text))
    assert len(named) == len(
        {match for match in re.findall(r"::(test_\w+)", text)}
    )
    missing = [
        f"{file}::{name}"
        for file, name in sorted(named)
        if f"def {name}(" not in (ROOT / f"{file}.py").read_text()
    ]
    assert not missing
