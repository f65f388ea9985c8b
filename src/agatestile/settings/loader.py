"""Reads the settings of a host from YAML.

Every fault is returned as a refusal whose reason is one line: the file, the
path of the key, what was found and what was expected.
"""

from __future__ import annotations

import functools
import ipaddress
import pathlib
import re
import types
import typing

import yaml

from agatestile.results import codes
from agatestile.results import outcomes
from agatestile.settings import schema

_QUANTITY = re.compile(r"(\d{1,9}(?:\.\d{1,9})?) ?([A-Za-z]*)")
_ENDPOINT = re.compile(r"([0-9.]+):([0-9]{1,5})")
_FOUND_CHARACTERS = 60


class _FaultError(Exception):
    def __init__(
        self,
        code: codes.ResultCode,
        path: str,
        found: object,
        expected: str,
    ) -> None:
        super().__init__(path)
        self.code = code
        self.path = path
        self.found = found
        self.expected = expected


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a key given twice, which PyYAML itself overwrites."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[typing.Hashable, typing.Any]:
        seen = set()
        for key_node, _ in node.value:
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"key {key_node.value!r} is given twice",
                    key_node.start_mark,
                )
            if isinstance(key_node.value, str):
                seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def load(path: str | pathlib.Path) -> schema.Settings | outcomes.Refusal:
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The YAML file.

    Returns
    -------
    schema.Settings or outcomes.Refusal
        The settings, or the first fault with a ``SETTINGS_`` code.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        content = yaml.load(text, _UniqueKeyLoader)  # noqa: S506
    except OSError as error:
        return _unreadable(path, error.strerror or str(error))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _unreadable(path, " ".join(str(error).split()))
    try:
        settings: schema.Settings = _read(schema.Settings, content, "")
        _check_domains(settings)
        _check_addresses(settings)
        _check_timing(settings.timing)
    except _FaultError as fault:
        return outcomes.Refusal(
            fault.code,
            f"{path}: {fault.path or 'top level'}: "
            f"found {_shorten(fault.found)}, expected {fault.expected}",
        )
    return settings


def _unreadable(path: str | pathlib.Path, detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        codes.ResultCode.SETTINGS_UNREADABLE,
        f"{path}: top level: found {detail}, expected readable YAML",
    )


def _shorten(found: object) -> str:
    text = repr(found)
    if len(text) <= _FOUND_CHARACTERS:
        return text
    return text[:_FOUND_CHARACTERS] + "..."


def _wrong_type(path: str, found: object, expected: str) -> _FaultError:
    return _FaultError(
        codes.ResultCode.SETTINGS_WRONG_TYPE, path, found, expected
    )


def _join(path: str, key: object) -> str:
    return f"{path}.{key}" if path else str(key)


def _read(kind: typing.Any, value: object, path: str) -> typing.Any:
    """Return a value converted to a type of the schema."""
    origin = typing.get_origin(kind)
    if origin is typing.Annotated:
        return _read_annotated(kind.__metadata__[0], value, path)
    if origin is typing.Literal:
        return _read_choice(typing.get_args(kind), value, path)
    if origin is tuple:
        return _read_names(typing.get_args(kind)[0], value, path)
    if origin in (types.UnionType, typing.Union):
        return _read(typing.get_args(kind)[0], value, path)
    if kind is schema.Address:
        return _read_address(value, path)
    if kind is schema.BaseUrl:
        return _read_url(value, path)
    return _read_section(kind, value, path)


def _read_section(kind: typing.Any, value: object, path: str) -> typing.Any:
    if not isinstance(value, dict):
        raise _wrong_type(path, value, "a mapping of keys")
    kinds_by_key = typing.get_type_hints(kind, include_extras=True)
    for key in value:
        if key not in kinds_by_key:
            raise _FaultError(
                codes.ResultCode.SETTINGS_UNKNOWN_KEY,
                _join(path, key),
                key,
                f"one of {', '.join(kinds_by_key)}",
            )
    for key in kinds_by_key:
        if key not in value and key not in kind._field_defaults:
            raise _FaultError(
                codes.ResultCode.SETTINGS_MISSING_KEY,
                _join(path, key),
                None,
                "a value, this key has no default",
            )
    return kind(
        **{
            key: _read(kinds_by_key[key], value[key], _join(path, key))
            for key in value
        }
    )


@functools.singledispatch
def _read_annotated(form: object, value: object, path: str) -> typing.Any:
    raise TypeError(f"no reader for {form!r}")


@_read_annotated.register
def _read_pattern(form: schema.Pattern, value: object, path: str) -> str:
    if isinstance(value, str) and re.fullmatch(form.expression, value):
        return value
    raise _wrong_type(path, value, form.expected)


@_read_annotated.register
def _read_quantity(form: schema.Unit, value: object, path: str) -> float:
    units = " or ".join(form.factors_by_name)
    expected = f"{form.kind} above zero with the unit {units}"
    bare = isinstance(value, int | float) and not isinstance(value, bool)
    if not bare and not isinstance(value, str):
        raise _wrong_type(path, value, expected)
    matched = _QUANTITY.fullmatch(str(value))
    if matched is None:
        raise _wrong_type(path, value, expected)
    number, unit = matched.groups()
    if unit not in form.factors_by_name:
        raise _FaultError(
            codes.ResultCode.SETTINGS_WRONG_UNIT, path, value, expected
        )
    if form.whole and "." in number:
        raise _wrong_type(path, value, f"{expected}, a whole number")
    if float(number) == 0:
        raise _wrong_type(path, value, expected)
    if form.whole:
        return int(number) * int(form.factors_by_name[unit])
    # 1400 ms and 1.4 s must be the same number.
    return round(float(number) * form.factors_by_name[unit], 9)


def _read_choice(
    choices: tuple[typing.Any, ...], value: object, path: str
) -> object:
    if value in choices:
        return value
    raise _wrong_type(path, value, f"one of {', '.join(choices)}")


def _read_names(kind: typing.Any, value: object, path: str) -> typing.Any:
    if not isinstance(value, list) or not value:
        raise _wrong_type(path, value, "a list of at least one name")
    names = tuple(
        _read(kind, item, f"{path}[{number}]")
        for number, item in enumerate(value)
    )
    if len(set(names)) < len(names):
        raise _wrong_type(path, value, "each name once")
    return names


def _read_address(value: object, path: str) -> schema.Address:
    expected = "an IPv4 address and port such as 127.0.0.1:8101"
    if not isinstance(value, str):
        raise _wrong_type(path, value, expected)
    matched = _ENDPOINT.fullmatch(value)
    if matched is None:
        raise _wrong_type(path, value, expected)
    host, port = matched.group(1), int(matched.group(2))
    try:
        number = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _wrong_type(path, value, expected) from error
    # Other hosts are told this address, so it must name one host.
    if number.is_unspecified or port > 65535:
        raise _wrong_type(path, value, expected)
    return schema.Address(host, port)


def _read_url(value: object, path: str) -> schema.BaseUrl:
    expected = "a base URL such as http://127.0.0.1:8001"
    if not isinstance(value, str) or not value.startswith("http://"):
        raise _wrong_type(path, value, expected)
    try:
        address = _read_address(value.removeprefix("http://"), path)
    except _FaultError as fault:
        raise _wrong_type(path, value, expected) from fault
    return schema.BaseUrl(*address)


def _check_domains(settings: schema.Settings) -> None:
    if settings.failure_domain not in settings.failure_domains:
        raise _FaultError(
            codes.ResultCode.SETTINGS_UNKNOWN_DOMAIN,
            "failure_domain",
            settings.failure_domain,
            f"one of failure_domains: {', '.join(settings.failure_domains)}",
        )


def _check_addresses(settings: schema.Settings) -> None:
    # The log and the membership list may share an address. Port 0 asks the
    # system for a free port.
    paths_by_address: dict[tuple[str, int], str] = {
        (url.host, url.port): f"platform.{key}"
        for key, url in settings.platform._asdict().items()
    }
    for key, address in settings.listen._asdict().items():
        path = f"listen.{key}"
        other = paths_by_address.setdefault(tuple(address), path)
        if address.port and other != path:
            raise _FaultError(
                codes.ResultCode.SETTINGS_ADDRESS_TWICE,
                path,
                str(address),
                f"an address that {other} does not use",
            )


def _check_timing(timing: schema.Timing) -> None:
    # A gate outlives the loss of its leader only if its lease is longer.
    rising = ("heartbeat_interval", "leader_lease", "serve_lease")
    for lower, upper in zip(rising, rising[1:], strict=False):
        if getattr(timing, upper) <= getattr(timing, lower):
            raise _wrong_type(
                f"timing.{upper}",
                f"{getattr(timing, upper):g}s",
                f"more than timing.{lower}, {getattr(timing, lower):g}s",
            )
