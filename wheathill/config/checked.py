"""Validation of TOML files against msgspec structures.

All errors are reported, each with the path of the key and what was expected.
"""

import difflib
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Literal, TypeGuard, TypeVar

import msgspec

from wheathill.config.errors import ConfigurationError

StructType = TypeVar("StructType", bound=msgspec.Struct)


@dataclass(frozen=True)
class NestedTable:
    """The structure that a field contains, either directly or as elements of an array.

    Attributes:
        struct: the structure.
        is_array: whether the field is an array of them.
    """

    struct: type[msgspec.Struct]
    is_array: bool


def load_toml(path: str) -> dict[str, Any]:
    """Return the parsed values of a TOML file.

    Raises:
        ConfigurationError: the file cannot be read, or is not valid TOML.
    """
    try:
        with open(path, "rb") as source:
            return tomllib.load(source)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def convert(values: object, struct: type[StructType]) -> StructType:
    """Return `values` converted to a structure.

    Raises:
        ConfigurationError: the values are invalid; the message has one line per error,
            in the order of the file.
    """
    errors = list(table_errors(values, struct, ""))
    if errors:
        raise ConfigurationError("\n".join(errors))
    return msgspec.convert(values, struct)


def table_errors(
    values: object, struct: type[msgspec.Struct], path: str
) -> Iterator[str]:
    """Yield a message for each error in a table.

    msgspec stops at the first error. To report all of them at once, each field is
    converted separately.

    Args:
        values: the table's values.
        struct: the structure that the table is validated against.
        path: the path of the table in the file, empty for the root.
    """
    if not isinstance(values, dict):
        yield f"{path or 'the file'}: must be a table"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    prefix = f"{path}." if path else ""
    for name, value in values.items():
        if name in fields:
            yield from value_errors(value, fields[name].type, f"{prefix}{name}")
        else:
            yield f"{prefix}{name}: no such key; {_key_suggestion(name, list(fields))}"
    for name, field in fields.items():
        if field.required and name not in values:
            yield f"{prefix}{name}: is missing"


def _key_suggestion(name: str, known: list[str]) -> str:
    similar = difflib.get_close_matches(name, known, 1)
    if similar:
        return f"did you mean {similar[0]}?"
    return "known keys: " + ", ".join(known)


def value_errors(value: object, field_type: object, path: str) -> Iterator[str]:
    """Yield a message for each error in the value of a field."""
    table = nested_table(field_type)
    if table is not None and table.is_array and isinstance(value, list):
        for index, item in enumerate(value):
            yield from table_errors(item, table.struct, f"{path}[{index}]")
    elif table is not None and not table.is_array and isinstance(value, dict):
        yield from table_errors(value, table.struct, path)
    else:
        yield from _conversion_errors(value, field_type, path)


def _conversion_errors(value: object, field_type: object, path: str) -> Iterator[str]:
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        # For example: Expected `int`, got `str` - at `$[0]`
        message, _, inner_path = str(error).partition(" - at `$")
        choices = literal_choices(field_type) if "enum" in message else ()
        line = f"{path}{inner_path.rstrip('`')}: {message[:1].lower() + message[1:]}"
        if choices:
            line += f", expected one of {', '.join(map(str, choices))}"
        yield line


def literal_choices(field_type: object) -> tuple[Any, ...]:
    """Return the values of the first Literal in a type, which may be nested."""
    arguments = getattr(field_type, "__args__", ())
    if getattr(field_type, "__origin__", None) is Literal:
        return arguments
    return next(filter(None, map(literal_choices, arguments)), ())


def nested_table(field_type: object) -> NestedTable | None:
    """Return the structure that a field's type contains, or None if there is none."""
    arguments = getattr(field_type, "__args__", ())
    is_list = getattr(field_type, "__origin__", None) is list
    if is_list and arguments and _is_struct(arguments[0]):
        return NestedTable(arguments[0], is_array=True)
    if _is_struct(field_type):
        return NestedTable(field_type, is_array=False)
    return next(filter(None, map(nested_table, arguments)), None)


def _is_struct(field_type: object) -> TypeGuard[type[msgspec.Struct]]:
    return isinstance(field_type, type) and issubclass(field_type, msgspec.Struct)
