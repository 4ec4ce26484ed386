"""Collects the names that leave the process from the source code.

External names are keys and values on the wire, keys of settings, command line options,
environment variables, log events and their fields, metric names, and names in stored
files. Run as a program, it prints them one a line, in the form of external_names.txt.
"""

import ast
import pathlib
import re
from collections.abc import Iterable, Iterator

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "wheathill"
NAME_LIST = pathlib.Path(__file__).with_name("external_names.txt")
# The lab runs beside the product; its names are not those of a running proxy.
EXCLUDED_PACKAGES = ("lab",)
# Calls whose text arguments name Python types, attributes or encodings.
PYTHON_ONLY_CALLS = {"TypeVar", "getattr", "encode", "decode"}
LOG_FUNCTIONS = {"log", "log_event", "_log_event"}
# Base classes whose fields are written out under their own names.
TABLE_BASES = {"Table", "Struct"}
ENUM_BASES = {"StrEnum", "Enum"}
IDENTIFIER_TEXT = re.compile(r"(?!__)(/|--)?[A-Za-z_][\w./?=:-]*")


def source_trees() -> Iterator[ast.Module]:
    """Yield the syntax tree of each module of the running program."""
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.relative_to(PACKAGE).parts[0] not in EXCLUDED_PACKAGES:
            yield ast.parse(path.read_text())


def called_name(call: ast.Call) -> str:
    """Return the last part of the name of a called function, empty for others."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def base_names(definition: ast.ClassDef) -> set[str]:
    """Return the last part of the name of each base class."""
    return {ast.unparse(base).rsplit(".", 1)[-1] for base in definition.bases}


def texts_not_external(tree: ast.Module) -> set[int]:
    """Return ids of nodes that hold docstrings, annotations or Python attribute names."""
    excluded: list[ast.AST] = []
    for node in ast.walk(tree):
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
            excluded += [node.returns] if node.returns else []
        elif isinstance(node, (ast.arg, ast.AnnAssign)) and node.annotation:
            excluded.append(node.annotation)
        elif isinstance(node, ast.Assign):
            targets = {ast.unparse(target) for target in node.targets}
            if targets & {"__slots__", "__all__"}:
                excluded.append(node.value)
        elif isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            excluded.append(node.value)
        elif isinstance(node, ast.Call) and called_name(node) in PYTHON_ONLY_CALLS:
            excluded.append(node)
    return {id(inner) for node in excluded for inner in ast.walk(node)}


def constant_texts(tree: ast.Module) -> Iterator[str]:
    """Yield text constants that look like a key, a value or a path."""
    excluded = texts_not_external(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in excluded:
            continue
        value = node.value
        text = value.decode("latin-1") if isinstance(value, bytes) else value
        if isinstance(text, str) and IDENTIFIER_TEXT.fullmatch(text):
            yield text


def enum_values(tree: ast.Module) -> Iterator[str]:
    """Yield the text values of enumerations, also those of several words."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef) and base_names(node) & ENUM_BASES:
            for statement in node.body:
                if isinstance(statement, ast.Assign):
                    yield from plain_texts([statement.value])


def table_fields(tree: ast.Module) -> Iterator[str]:
    """Yield the fields of tables in an operator's file."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef) and base_names(node) & TABLE_BASES:
            for statement in node.body:
                if isinstance(statement, ast.AnnAssign):
                    yield ast.unparse(statement.target)


def log_and_metric_names(tree: ast.Module) -> Iterator[str]:
    """Yield field names of log lines and names of counters."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call):
            continue
        if called_name(node) in LOG_FUNCTIONS:
            yield from (each.arg for each in node.keywords if each.arg)
        elif called_name(node) == "count":
            yield from plain_texts(node.args)


def plain_texts(nodes: Iterable[ast.AST]) -> Iterator[str]:
    """Yield the values of those nodes that are text constants."""
    for node in nodes:
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


def collect() -> set[str]:
    """Return the external names that the source code holds now."""
    collectors = (constant_texts, enum_values, table_fields, log_and_metric_names)
    return {
        name
        for tree in source_trees()
        for collector in collectors
        for name in collector(tree)
        if len(name) > 1 and name.strip() == name
    }


if __name__ == "__main__":
    print(*sorted(collect()), sep="\n")
