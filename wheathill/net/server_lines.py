"""The lines of an open session that its server sends, as far as the proxy reads them.

All of them are forwarded unchanged. A server may send tens of thousands with one read,
so they are scanned together rather than one by one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from wheathill.net.line_buffer import CRLF

LOAD_WORD = b"LOAD"
READ_WORDS = (LOAD_WORD, b"BYE", b"MOVE")
# A line with a meaning to the proxy: its first word, and what follows behind a space.
READ_LINE = re.compile(rb"(?:\A|(?<=\r\n))(LOAD|BYE|MOVE)(?: (.*?))?\r\n", re.DOTALL)


@dataclass(frozen=True, slots=True)
class ServerLines:
    """What complete lines say.

    Attributes:
        declared_load: the text of the last LOAD line, or None.
        has_answer: whether there is any other line, which answers the client's.
        last_word: BYE or MOVE if the server has ended the session, or None.
        report: the load report behind that word, empty if there is none.
    """

    declared_load: bytes | None = None
    has_answer: bool = False
    last_word: bytes | None = None
    report: bytes = b""


def split_partial_line(data: bytes) -> tuple[bytes, bytes]:
    """Return the complete lines, and the beginning of one that isn't complete."""
    end = data.rfind(CRLF)
    if end < 0:
        return b"", data
    end += len(CRLF)
    return data[:end], data[end:]


def read_lines(data: bytes) -> ServerLines:
    """Return what complete lines say; of several that say the same the last counts."""
    if not any(word in data for word in READ_WORDS):
        return ServerLines(has_answer=True)
    declared_load: bytes | None = None
    last_word: bytes | None = None
    report = b""
    load_count = 0
    for word, rest in READ_LINE.findall(data):
        if word == LOAD_WORD:
            declared_load = rest
            load_count += 1
        else:
            last_word, report = word, rest
    return ServerLines(
        declared_load=declared_load,
        has_answer=data.count(CRLF) > load_count,
        last_word=last_word,
        report=report,
    )
