"""Holds the marker `processes` to its word.

A test without it that starts the interpreter or uses the network fails.
"""

import contextlib
import sys
from collections.abc import Generator, Iterator
from typing import Any

import pytest

watched = False
used: set[str] = set()


def note_use(event: str, arguments: tuple[Any, ...]) -> None:
    """Audit hook: remembers what a watched test used.

    Only what is started with this interpreter counts among processes, as
    matplotlib asks the system for its fonts by one.
    """
    if watched and (
        event in ("socket.bind", "socket.connect")
        or (event == "subprocess.Popen" and arguments[0] == sys.executable)
    ):
        used.add(event)


sys.addaudithook(note_use)


@contextlib.contextmanager
def watching(item: pytest.Item) -> Iterator[None]:
    """Fails the test if it uses what its markers don't name."""
    global watched
    used.clear()
    watched = item.get_closest_marker("processes") is None
    try:
        yield
    finally:
        watched = False
    if used:
        pytest.fail(f"uses {', '.join(sorted(used))}: mark it `processes`", False)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_setup(item: pytest.Item) -> Generator[None, Any, Any]:
    """Watches the fixtures of a test."""
    with watching(item):
        return (yield)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item: pytest.Item) -> Generator[None, Any, Any]:
    """Watches the test itself."""
    with watching(item):
        return (yield)
