"""Tests of the patches between versions of a content."""

from __future__ import annotations

import random

from agatestile.node import content_history


def _content(version: int) -> bytes:
    generator = random.Random(1)
    routes = [f"/{generator.getrandbits(64):x}/" for _ in range(10_000)]
    return f"{version} {' '.join(routes)}".encode()


def _history(*versions: int) -> content_history.ContentHistory:
    history = content_history.ContentHistory(4)
    for version in versions:
        history.add(version, _content(version))
    return history


def test_patch_of_a_small_change_is_small() -> None:
    patch = _history(3, 4).patch_from(3)
    assert patch is not None and patch.base_version == 3
    assert len(patch.content) < 1000
    assert _history(3).apply(patch) == _content(4)


def test_patch_needs_no_base_that_is_not_kept() -> None:
    patch = _history(*range(3, 20)).patch_from(3)
    assert patch is not None
    assert patch.base_version == content_history.NO_VERSION
    assert _history(3).apply(patch) == _content(19)


def test_no_patch_leads_to_an_older_version() -> None:
    history = _history(3, 4)
    assert history.patch_from(4) is None
    assert history.patch_from(5) is None


def test_patch_for_an_unknown_base_is_rejected() -> None:
    patch = _history(3, 4).patch_from(3)
    assert patch is not None
    assert isinstance(_history(1).apply(patch), str)


def test_patch_for_another_content_of_the_same_version_is_rejected() -> None:
    """Guards against a content that no host has sent.

    Two coordinators may give the same number to different assignments.
    """
    patch = _history(3, 4).patch_from(3)
    assert patch is not None
    other = content_history.ContentHistory(4)
    other.add(3, _content(3).replace(b"/a", b"/b"))
    assert isinstance(other.apply(patch), str)
