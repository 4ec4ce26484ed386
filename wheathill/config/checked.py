"""TOML files against msgspec structures: every fault is named, each with its path and what was expected."""

import difflib
import tomllib
from typing import Literal

import msgspec

from wheathill.config import Misconfigured


def load(path):
    try:
        with open(path, "rb") as source:
            return tomllib.load(source)
    except (OSError, ValueError) as wrong:
        raise Misconfigured(f"{path}: {wrong}") from None


def read(values, kind):
    """`values` as the msgspec.Struct `kind`. Raises Misconfigured, one line a fault, in the file's order."""
    wrong = list(faults(values, kind, ""))
    if wrong:
        raise Misconfigured("\n".join(wrong))
    return msgspec.convert(values, kind)


def faults(values, kind, path):
    """msgspec stops at the first fault; an operator wants them all, so each field is converted alone."""
    if not isinstance(values, dict):
        yield f"{path or 'the file'}: must be a table"
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name, value in values.items():
        at = f"{path}.{name}" if path else name
        if name not in fields:
            near = difflib.get_close_matches(name, fields, 1)
            yield f"{at}: no such key; " + (
                f"did you mean {near[0]}?"
                if near
                else "known here: " + ", ".join(fields)
            )
            continue
        yield from value_faults(value, fields[name].type, at)
    for name, field in fields.items():
        if field.required and name not in values:
            yield f"{path + '.' if path else ''}{name}: is missing"


def value_faults(value, kind, at):
    inner = table_of(kind)
    if inner is not None and inner[1] and isinstance(value, list):
        for place, item in enumerate(value):
            yield from faults(item, inner[0], f"{at}[{place}]")
    elif inner is not None and not inner[1] and isinstance(value, dict):
        yield from faults(value, inner[0], at)
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as wrong:
            text, _, place = str(wrong).partition(" - at `$")
            known = choices(kind) if "enum" in text else ()
            yield f"{at}{place.rstrip('`')}: {text[:1].lower() + text[1:]}" + (
                f", expected one of {', '.join(map(str, known))}" if known else ""
            )


def choices(kind):
    """Of a Literal, however deep it stands in a list or an optional."""
    args = getattr(kind, "__args__", ())
    return (
        args
        if getattr(kind, "__origin__", None) is Literal
        else next((choices(arg) for arg in args if choices(arg)), ())
    )


def table_of(kind):
    """(the structure, whether it is an array of them), or None for plain values."""
    args = getattr(kind, "__args__", ())
    if getattr(kind, "__origin__", None) is list and args and is_struct(args[0]):
        return args[0], True
    if is_struct(kind):
        return kind, False
    return next((table_of(arg) for arg in args if table_of(arg)), None)


def is_struct(kind):
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)
