"""Tests loading valid and invalid settings files."""

from __future__ import annotations

import collections.abc
import pathlib
import typing

import pytest

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.settings import loader
from agatestile.settings import schema
from tests import documents

Code = codes.ResultCode

COMPLETE = """\
host: entry-1
failure_domain: warszawa-a
failure_domains: [warszawa-a, warszawa-b, radom]
listen:
  callers: 127.0.0.1:8101
  forward: 127.0.0.1:8111
  peers: 127.0.0.1:8121
  admin: 127.0.0.1:8131
platform: {log: "http://127.0.0.1:8001", membership: "http://127.0.0.1:8002"}
timing: {serve_lease: 1600ms, leader_lease: 1s}
requests: {header_limit: 16KiB, body_memory: 1MiB}
logging: {level: warning, format: json}
metrics: {statsd: 127.0.0.1:8125, prefix: agatestile}
"""


def _load(
    directory: pathlib.Path, text: str
) -> schema.Settings | outcomes.Refusal:
    path = directory / "host.yaml"
    path.write_text(text, encoding="utf-8")
    return loader.load(path)


def test_units_are_converted_and_defaults_are_used(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against quantities in wrong units and missing defaults."""
    settings = _load(tmp_path, COMPLETE)
    assert isinstance(settings, schema.Settings)
    assert settings.timing.serve_lease == 1.6
    assert settings.timing.heartbeat_interval == 0.25
    assert settings.requests.body_memory == 1024 * 1024
    assert settings.listen.peers == schema.Address("127.0.0.1", 8121)
    assert str(settings.platform.log) == "http://127.0.0.1:8001"
    assert str(settings.metrics.statsd) == "127.0.0.1:8125"


def test_optional_sections_may_be_absent(tmp_path: pathlib.Path) -> None:
    """Guards against refusing a file that has only the required sections."""
    settings = _load(tmp_path, COMPLETE.partition("timing:")[0])
    assert isinstance(settings, schema.Settings)
    assert settings.timing == schema.Timing()
    assert settings.metrics.statsd is None


def test_several_addresses_may_have_port_zero(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against refusing port 0, a request for a free port, as shared."""
    text = COMPLETE.replace("8101", "0").replace("8111", "0")
    assert isinstance(_load(tmp_path, text), schema.Settings)


@pytest.mark.parametrize(
    ("old", "new", "code", "path"),
    [
        ("host: entry-1", "host: [", Code.SETTINGS_UNREADABLE, "top level"),
        ("host: entry-1", "host: a\nhost: b", Code.SETTINGS_UNREADABLE, ""),
        ("entry-1", "2026-13-45", Code.SETTINGS_UNREADABLE, "top level"),
        ("entry-1", "\x01", Code.SETTINGS_UNREADABLE, "top level"),
        ("host: e", "hots: e", Code.SETTINGS_UNKNOWN_KEY, "hots"),
        ("level:", "levle:", Code.SETTINGS_UNKNOWN_KEY, "logging.levle"),
        ("host: e", "5: e", Code.SETTINGS_UNKNOWN_KEY, "5"),
        ("  peers: 127.0.0.1:8121\n", "", Code.SETTINGS_MISSING_KEY, "peers"),
        ("host: entry-1\n", "", Code.SETTINGS_MISSING_KEY, "host"),
        ("entry-1", "7", Code.SETTINGS_WRONG_TYPE, "host"),
        ("entry-1", "a/b", Code.SETTINGS_WRONG_TYPE, "host"),
        ("entry-1", '"a\\n"', Code.SETTINGS_WRONG_TYPE, "host"),
        ("[warszawa-a, ", "[7, ", Code.SETTINGS_WRONG_TYPE, "domains[0]"),
        ("radom]", "warszawa-a]", Code.SETTINGS_WRONG_TYPE, "domains"),
        (
            "[warszawa-a, warszawa-b, radom]",
            "[]",
            Code.SETTINGS_WRONG_TYPE,
            "",
        ),
        ("warning", "loud", Code.SETTINGS_WRONG_TYPE, "logging.level"),
        ("warning", "[]", Code.SETTINGS_WRONG_TYPE, "logging.level"),
        ("127.0.0.1:8101", "8101", Code.SETTINGS_WRONG_TYPE, "listen.callers"),
        ("127.0.0.1:8101", "a:1", Code.SETTINGS_WRONG_TYPE, "listen.callers"),
        ("1:8101", "1:81010", Code.SETTINGS_WRONG_TYPE, "listen.callers"),
        ("127.0.0.1:8101", "0.0.0.0:1", Code.SETTINGS_WRONG_TYPE, "callers"),
        ("http://127.0.0.1:8001", "ftp", Code.SETTINGS_WRONG_TYPE, "m.log"),
        ("1600ms", "fast", Code.SETTINGS_WRONG_TYPE, "timing.serve_lease"),
        ("1600ms", "0ms", Code.SETTINGS_WRONG_TYPE, "timing.serve_lease"),
        ("1600ms", "yes", Code.SETTINGS_WRONG_TYPE, "timing.serve_lease"),
        ("1600ms", "900ms", Code.SETTINGS_WRONG_TYPE, "timing.serve_lease"),
        ("1600ms", "1600", Code.SETTINGS_WRONG_UNIT, "timing.serve_lease"),
        ("1600ms", "2 min", Code.SETTINGS_WRONG_UNIT, "timing.serve_lease"),
        ("1600ms", "2KiB", Code.SETTINGS_WRONG_UNIT, "timing.serve_lease"),
        ("16KiB", "16kB", Code.SETTINGS_WRONG_UNIT, "requests.header_limit"),
        ("16KiB", "1.5KiB", Code.SETTINGS_WRONG_TYPE, "requests.header_limit"),
        ("8121", "8101", Code.SETTINGS_ADDRESS_TWICE, "listen.peers"),
        ("8121", "8001", Code.SETTINGS_ADDRESS_TWICE, "listen.peers"),
        ("domain: w", "domain: x", Code.SETTINGS_UNKNOWN_DOMAIN, "e_domain"),
    ],
)
def test_invalid_settings_are_refused_with_a_code_and_one_line(
    tmp_path: pathlib.Path,
    old: str,
    new: str,
    code: codes.ResultCode,
    path: str,
) -> None:
    """Guards against a daemon that starts with invalid settings.

    The refusal must name the file, the key, the value and what was expected.
    """
    assert old in COMPLETE
    refusal = _load(tmp_path, COMPLETE.replace(old, new, 1))
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code is code
    assert refusal.reason.startswith(f"{tmp_path / 'host.yaml'}: ")
    assert "\n" not in refusal.reason
    assert f"{path}: found " in refusal.reason
    assert ", expected " in refusal.reason


@pytest.mark.parametrize("content", [None, b"\xff\xfe\xfa", b"[" * 5000])
def test_unreadable_file_is_refused(
    tmp_path: pathlib.Path, content: bytes | None
) -> None:
    """Guards against a traceback instead of a refusal."""
    path = tmp_path / "host.yaml"
    if content is not None:
        path.write_bytes(content)
    refusal = loader.load(path)
    assert isinstance(refusal, outcomes.Refusal)
    assert refusal.code is Code.SETTINGS_UNREADABLE
    assert "\n" not in refusal.reason


_VALUE_TYPES = (schema.Address, schema.BaseUrl)


def _key_paths(
    section_type: typing.Any, path: str = ""
) -> collections.abc.Iterator[str]:
    for key, hint in typing.get_type_hints(section_type).items():
        if hasattr(hint, "_fields") and hint not in _VALUE_TYPES:
            yield from _key_paths(hint, f"{path}{key}.")
        else:
            yield path + key


def test_documentation_lists_each_key() -> None:
    """Guards against a key that docs/configuration.md omits."""
    rows = documents.table_rows("configuration.md", "| key | type |")
    assert [row[0] for row in rows] == list(_key_paths(schema.Settings))


def test_documented_defaults_match_the_schema(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a default changed in the code or the docs only."""
    text = COMPLETE.partition("timing:")[0]
    sections: dict[str, list[str]] = {}
    for key, _, default, _ in documents.table_rows(
        "configuration.md", "| key | type |"
    ):
        section, _, name = key.partition(".")
        if default not in ("", "none"):
            sections.setdefault(section, []).append(f"  {name}: {default}\n")
    for section, lines in sections.items():
        text += f"{section}:\n{''.join(lines)}"
    assert _load(tmp_path, text) == _load(
        tmp_path, COMPLETE.partition("timing:")[0]
    )
    assert len(sections["timing"]) == len(schema.Timing._fields)
