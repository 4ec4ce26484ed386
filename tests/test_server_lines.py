"""What the proxy reads of the lines that it forwards, against reading them one by one."""

import random

import pytest

from wheathill.net.line_buffer import CRLF
from wheathill.net.server_lines import ServerLines, read_lines, split_partial_line

PIECES = (
    *(b"LOAD 0.5", b"LOAD", b"LOAD  1", b"LOADS 1", b"BYE", b"BYE a=1", b"MOVE", b"MOVE x"),
    *(b"", b" ", b"echo", b"a BYE", b"\nBYE", b"\rLOAD 1", b"UP r", b"LOAD 2\n", b"bye"),
)  # fmt: skip


def read_one_by_one(data: bytes) -> ServerLines:
    """Returns the same as `read_lines`, in the plainest way."""
    load, has_answer, last_word, report = None, False, None, b""
    for line in data.split(CRLF)[:-1]:
        word, _, rest = line.partition(b" ")
        if word == b"LOAD":
            load = rest
        else:
            has_answer = True
        if word in (b"BYE", b"MOVE"):
            last_word, report = word, rest
    return ServerLines(load, has_answer, last_word, report)


@pytest.mark.parametrize("seed", range(200))
def test_lines_are_read_as_one_by_one(seed: int) -> None:
    # Guards against a scan that takes part of a line for a line, or misses one.
    source = random.Random(seed)
    data = b"".join(
        source.choice(PIECES) + CRLF for _ in range(source.randint(1, 6))
    ) + source.choice((b"", b"BY", b"LOAD 1", b"\r"))
    lines, partial_line = split_partial_line(data)
    assert lines + partial_line == data
    assert CRLF not in partial_line
    assert read_lines(lines) == read_one_by_one(lines)
