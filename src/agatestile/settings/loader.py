"""Reads the settings of a host from a YAML file.

Each error is returned as a refusal whose reason is one line: the file, the
path of the key, the value found and what was expected.
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
_MAX_PORT = 65535
_MAX_SHOWN_CHARACTERS = 60  # of a value in an error message
_ROUNDED_DECIMALS = 9  # of a quantity in the program's own unit


class _InvalidSettingError(Exception):
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
    """Rejects duplicate keys, of which PyYAML would keep the last."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[typing.Hashable, typing.Any]:
        seen_keys = set()
        for key_node, _ in node.value:
            if key_node.value in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None,
                    None,
                    f"key {key_node.value!r} occurs more than once",
                    key_node.start_mark,
                )
            if isinstance(key_node.value, str):
                seen_keys.add(key_node.value)
        return super().construct_mapping(node, deep)


def load(path: str | pathlib.Path) -> schema.Settings | outcomes.Refusal:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The YAML file.

    Returns
    -------
    schema.Settings or outcomes.Refusal
        The settings, or the first error with a ``SETTINGS_`` code.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        content = yaml.load(text, _UniqueKeyLoader)  # noqa: S506
    except OSError as error:
        return _unreadable(path, error.strerror or str(error))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _unreadable(path, " ".join(str(error).split()))
    try:
        settings: schema.Settings = _read_value(schema.Settings, content, "")
        _check_domains(settings)
        _check_addresses(settings)
        _check_timing(settings.timing)
    except _InvalidSettingError as error:
        return outcomes.Refusal(
            error.code,
            f"{path}: {error.path or 'top level'}: "
            f"found {_shorten(error.found)}, expected {error.expected}",
        )
    return settings


def _unreadable(path: str | pathlib.Path, detail: str) -> outcomes.Refusal:
    return outcomes.Refusal(
        codes.ResultCode.SETTINGS_UNREADABLE,
        f"{path}: top level: found {detail}, expected readable YAML",
    )


def _shorten(found: object) -> str:
    text = repr(found)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[:_MAX_SHOWN_CHARACTERS] + "..."


def _wrong_type(
    path: str, found: object, expected: str
) -> _InvalidSettingError:
    return _InvalidSettingError(
        codes.ResultCode.SETTINGS_WRONG_TYPE, path, found, expected
    )


def _join_path(path: str, key: object) -> str:
    return f"{path}.{key}" if path else str(key)


def _read_value(
    schema_type: typing.Any, value: object, path: str
) -> typing.Any:
    """Convert a value to a type of the schema."""
    origin = typing.get_origin(schema_type)
    if origin is typing.Annotated:
        return _read_annotated(schema_type.__metadata__[0], value, path)
    if origin is typing.Literal:
        return _read_choice(typing.get_args(schema_type), value, path)
    if origin is tuple:
        return _read_names(typing.get_args(schema_type)[0], value, path)
    if origin in (types.UnionType, typing.Union):
        return _read_value(typing.get_args(schema_type)[0], value, path)
    if schema_type is schema.Address:
        return _read_address(value, path)
    if schema_type is schema.BaseUrl:
        return _read_url(value, path)
    return _read_section(schema_type, value, path)


def _read_section(
    section_type: typing.Any, value: object, path: str
) -> typing.Any:
    if not isinstance(value, dict):
        raise _wrong_type(path, value, "a mapping of keys")
    types_by_key = typing.get_type_hints(section_type, include_extras=True)
    for key in value:
        if key not in types_by_key:
            raise _InvalidSettingError(
                codes.ResultCode.SETTINGS_UNKNOWN_KEY,
                _join_path(path, key),
                key,
                f"one of {', '.join(types_by_key)}",
            )
    for key in types_by_key:
        if key not in value and key not in section_type._field_defaults:
            raise _InvalidSettingError(
                codes.ResultCode.SETTINGS_MISSING_KEY,
                _join_path(path, key),
                None,
                "a value, since this key has no default",
            )
    return section_type(
        **{
            key: _read_value(
                types_by_key[key], value[key], _join_path(path, key)
            )
            for key in value
        }
    )


@functools.singledispatch
def _read_annotated(
    constraint: object, value: object, path: str
) -> typing.Any:
    raise TypeError(f"no reader for constraint {constraint!r}")


@_read_annotated.register
def _read_pattern(constraint: schema.Pattern, value: object, path: str) -> str:
    if isinstance(value, str) and re.fullmatch(constraint.expression, value):
        return value
    raise _wrong_type(path, value, constraint.expected)


@_read_annotated.register
def _read_quantity(
    constraint: schema.Quantity, value: object, path: str
) -> float:
    units = " or ".join(constraint.factors_by_name)
    expected = f"{constraint.kind} above zero with the unit {units}"
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number and not isinstance(value, str):
        raise _wrong_type(path, value, expected)
    match = _QUANTITY.fullmatch(str(value))
    if match is None:
        raise _wrong_type(path, value, expected)
    number, unit = match.groups()
    if unit not in constraint.factors_by_name:
        raise _InvalidSettingError(
            codes.ResultCode.SETTINGS_WRONG_UNIT, path, value, expected
        )
    if constraint.whole and "." in number:
        raise _wrong_type(path, value, f"{expected}, a whole number")
    if float(number) == 0:
        raise _wrong_type(path, value, expected)
    if constraint.whole:
        return int(number) * int(constraint.factors_by_name[unit])
    # Rounded so that 1400 ms and 1.4 s give the same number.
    return round(
        float(number) * constraint.factors_by_name[unit], _ROUNDED_DECIMALS
    )


def _read_choice(
    choices: tuple[typing.Any, ...], value: object, path: str
) -> object:
    if value in choices:
        return value
    raise _wrong_type(path, value, f"one of {', '.join(choices)}")


def _read_names(name_type: typing.Any, value: object, path: str) -> typing.Any:
    if not isinstance(value, list) or not value:
        raise _wrong_type(path, value, "a list of at least one name")
    names = tuple(
        _read_value(name_type, item, f"{path}[{index}]")
        for index, item in enumerate(value)
    )
    if len(set(names)) < len(names):
        raise _wrong_type(path, value, "a list without duplicate names")
    return names


def _read_address(value: object, path: str) -> schema.Address:
    expected = "an IPv4 address and port such as 127.0.0.1:8101"
    if not isinstance(value, str):
        raise _wrong_type(path, value, expected)
    match = _ENDPOINT.fullmatch(value)
    if match is None:
        raise _wrong_type(path, value, expected)
    host, port = match.group(1), int(match.group(2))
    try:
        ip_address = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise _wrong_type(path, value, expected) from error
    # The address is announced to other hosts, so it must identify one host.
    if ip_address.is_unspecified or port > _MAX_PORT:
        raise _wrong_type(path, value, expected)
    return schema.Address(host, port)


def _read_url(value: object, path: str) -> schema.BaseUrl:
    expected = "a base URL such as http://127.0.0.1:8001"
    if not isinstance(value, str) or not value.startswith("http://"):
        raise _wrong_type(path, value, expected)
    try:
        address = _read_address(value.removeprefix("http://"), path)
    except _InvalidSettingError as error:
        raise _wrong_type(path, value, expected) from error
    return schema.BaseUrl(*address)


def _check_domains(settings: schema.Settings) -> None:
    if settings.failure_domain not in settings.failure_domains:
        raise _InvalidSettingError(
            codes.ResultCode.SETTINGS_UNKNOWN_DOMAIN,
            "failure_domain",
            settings.failure_domain,
            f"one of failure_domains: {', '.join(settings.failure_domains)}",
        )


def _check_addresses(settings: schema.Settings) -> None:
    # The log and the membership list may share an address. Several listeners
    # may have port 0, which requests a free port from the system.
    paths_by_address: dict[tuple[str, int], str] = {
        (url.host, url.port): f"platform.{key}"
        for key, url in settings.platform._asdict().items()
    }
    for key, address in settings.listen._asdict().items():
        path = f"listen.{key}"
        first_path = paths_by_address.setdefault(tuple(address), path)
        if address.port and first_path != path:
            raise _InvalidSettingError(
                codes.ResultCode.SETTINGS_ADDRESS_TWICE,
                path,
                str(address),
                f"an address that {first_path} does not use",
            )


def _check_timing(timing: schema.Timing) -> None:
    # A gate survives the loss of its leader only if its serve lease is longer
    # than the leader lease.
    ascending = ("heartbeat_interval", "leader_lease", "serve_lease")
    for lower, upper in zip(ascending, ascending[1:], strict=False):
        if getattr(timing, upper) <= getattr(timing, lower):
            raise _wrong_type(
                f"timing.{upper}",
                f"{getattr(timing, upper):g}s",
                f"more than timing.{lower}, {getattr(timing, lower):g}s",
            )
