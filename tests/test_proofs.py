"""Checks that the tests named in docs/proofs.md exist."""

from __future__ import annotations

import pathlib
import re

from tests import documents

TESTS = pathlib.Path(__file__).parent
_TEST_REFERENCE = re.compile(r"`([a-z_/]+)::(test_[a-z0-9_]+)(?:\[\w+\])?`")


def test_proofs_page_names_only_existing_tests() -> None:
    """Guards against a reference to a test that was renamed or removed."""
    text = (documents.DOCS / "proofs.md").read_text(encoding="utf-8")
    references = set(_TEST_REFERENCE.findall(text))
    assert len(references) == len(
        {match for match in re.findall(r"::(test_\w+)", text)}
    )
    missing = [
        f"{file}::{name}"
        for file, name in sorted(references)
        if f"def {name}(" not in (TESTS / f"{file}.py").read_text()
    ]
    assert not missing
