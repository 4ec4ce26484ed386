"""The names that docs/ARCHITECTURE.md puts in backticks exist in the code."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
PACKAGE = ROOT / "wheathill"


def code_names() -> list[str]:
    """All names in backticks, without code blocks."""
    return re.findall(r"`([^`\n]+)`", PAGE.read_text())


def definitions() -> tuple[dict[str, set[str]], set[str]]:
    """The members of each class, and the names of all functions and classes."""
    members: dict[str, set[str]] = {}
    names: set[str] = set()
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, (ast.FunctionDef, ast.ClassDef)):
                names.add(node.name)
            if isinstance(node, ast.ClassDef):
                functions = (
                    each.name for each in node.body if isinstance(each, ast.FunctionDef)
                )
                members.setdefault(node.name, set()).update(functions)
    return members, names


def test_paths_exist():
    paths = [name for name in code_names() if re.fullmatch(r"[\w/]+\.py", name)]
    known = {path.name for path in PACKAGE.rglob("*.py")}
    missing = [
        path
        for path in paths
        if not (ROOT / path).exists()
        and not (PACKAGE / path).exists()
        and ("/" in path or path not in known)
    ]
    assert paths and missing == []


def test_methods_exist():
    members, _ = definitions()
    pairs = [re.fullmatch(r"([A-Z]\w+)\.([a-z]\w+)", name) for name in code_names()]
    found = [pair.groups() for pair in pairs if pair]
    assert len(found) > 20
    assert [pair for pair in found if pair[1] not in members.get(pair[0], ())] == []


def test_classes_and_functions_exist():
    _, names = definitions()
    classes = [
        name for name in code_names() if re.fullmatch(r"[A-Z][a-z]+[A-Z]?\w*", name)
    ]
    functions = [name for name in code_names() if name in ("may_retry", "may_reject")]
    assert len(classes) > 20
    assert [name for name in classes + functions if name not in names] == []
