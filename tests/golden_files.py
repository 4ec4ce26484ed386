"""Recorded bytes in tests/golden: what the program wrote at one time, which it has to write ever after.

`GOLDEN_RECORD=1` writes the files anew, and fails the tests that do so: nothing passes by being recorded.
"""

import json
import os
import pathlib
from typing import Any

import pytest

FOLDER = pathlib.Path(__file__).parent / "golden"


def read_golden(name: str) -> Any:
    """Returns what is recorded in the JSON file of that name."""
    return json.loads((FOLDER / name).read_text())


def check_golden(name: str, actual: Any) -> None:
    """Fails where `actual`, made of JSON's types, is not what the file of that name holds."""
    path = FOLDER / name
    if os.environ.get("GOLDEN_RECORD"):
        path.write_text(json.dumps(actual, indent=1, ensure_ascii=True) + "\n")
        pytest.fail(f"recorded {path.name}, compared nothing")
    compare_golden(name, actual)


def compare_golden(name: str, actual: Any) -> None:
    """Fails as `check_golden` does, and never records."""
    expected = read_golden(name)
    if isinstance(expected, dict) and isinstance(actual, dict):
        assert list(actual) == list(expected)
        for key, value in expected.items():
            assert actual[key] == value, f"{name}: {key}"
    assert json.loads(json.dumps(actual)) == expected


def text_of(data: bytes) -> str:
    """Returns bytes as a readable text, one character a byte."""
    return data.decode("latin-1")


def bytes_of(text: str) -> bytes:
    """Returns the bytes that `text_of` made readable."""
    return text.encode("latin-1")
