"""Checks of TOML files against msgspec structures.

Every fault is named, with its path and what was expected.
"""

import difflib
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Literal, TypeGuard, TypeVar

import msgspec

from wheathill.config.errors import ConfigurationError

TableType = TypeVar("TableType", bound=msgspec.Struct)


@dataclass(frozen=True)
class TableKind:
    """The structure that a field's type has, alone or in an array."""

    struct: type[msgspec.Struct]
    is_array: bool


def load_toml(path: str) -> dict[str, Any]:
    """Return the file's values.

    Raises:
        ConfigurationError: The file can't be read, or is no TOML.
    """
    try:
        with open(path, "rb") as source:
            return tomllib.load(source)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def convert(values: object, struct: type[TableType]) -> TableType:
    """Return `values` as that structure.

    Raises:
        ConfigurationError: One line a fault, in the file's order.
    """
    faults = list(table_faults(values, struct, ""))
    if faults:
        raise ConfigurationError("\n".join(faults))
    return msgspec.convert(values, struct)


def table_faults(
    values: object, struct: type[msgspec.Struct], path: str
) -> Iterator[str]:
    """Yield all that is wrong with a table.

    msgspec stops at the first fault; an operator wants them all, so each field is
    converted alone.
    """
    if not isinstance(values, dict):
        yield f"{path or 'the file'}: must be a table"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    prefix = f"{path}." if path else ""
    for name, value in values.items():
        if name in fields:
            yield from value_faults(value, fields[name].type, f"{prefix}{name}")
        else:
            yield f"{prefix}{name}: no such key; {_known_keys(name, list(fields))}"
    for name, field in fields.items():
        if field.required and name not in values:
            yield f"{prefix}{name}: is missing"


def _known_keys(name: str, known: list[str]) -> str:
    similar = difflib.get_close_matches(name, known, 1)
    if similar:
        return f"did you mean {similar[0]}?"
    return "known here: " + ", ".join(known)


def value_faults(value: object, field_type: object, path: str) -> Iterator[str]:
    """Yield all that is wrong with the value of a field of that type."""
    table = table_kind(field_type)
    if table is not None and table.is_array and isinstance(value, list):
        for index, item in enumerate(value):
            yield from table_faults(item, table.struct, f"{path}[{index}]")
    elif table is not None and not table.is_array and isinstance(value, dict):
        yield from table_faults(value, table.struct, path)
    else:
        yield from _plain_faults(value, field_type, path)


def _plain_faults(value: object, field_type: object, path: str) -> Iterator[str]:
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        # Such as: Expected `int`, got `str` - at `$[0]`
        text, _, inner_path = str(error).partition(" - at `$")
        choices = literal_choices(field_type) if "enum" in text else ()
        fault = f"{path}{inner_path.rstrip('`')}: {text[:1].lower() + text[1:]}"
        if choices:
            fault += f", expected one of {', '.join(map(str, choices))}"
        yield fault


def literal_choices(field_type: object) -> tuple[Any, ...]:
    """Return the values of a Literal, in a list or an optional however deep."""
    arguments = getattr(field_type, "__args__", ())
    if getattr(field_type, "__origin__", None) is Literal:
        return arguments
    return next(filter(None, map(literal_choices, arguments)), ())


def table_kind(field_type: object) -> TableKind | None:
    """Return what structure a field's type has, or None for plain values."""
    arguments = getattr(field_type, "__args__", ())
    is_list = getattr(field_type, "__origin__", None) is list
    if is_list and arguments and _is_struct(arguments[0]):
        return TableKind(arguments[0], is_array=True)
    if _is_struct(field_type):
        return TableKind(field_type, is_array=False)
    return next(filter(None, map(table_kind, arguments)), None)


def _is_struct(field_type: object) -> TypeGuard[type[msgspec.Struct]]:
    return isinstance(field_type, type) and issubclass(field_type, msgspec.Struct)
