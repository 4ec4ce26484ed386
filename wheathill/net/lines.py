"""Lines of text ended by CRLF, the head of a session, and the words of a load report."""

import re

END = b"\r\n"
PRINTABLE = re.compile(rb"[ -~]+")
NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


class Malformed(Exception):
    pass


class Lines:
    """Cuts what comes into lines; keeps no more than one unfinished line."""

    def __init__(self, longest):
        self.longest = longest
        self.rest = b""

    def feed(self, data):
        self.rest += data

    def next(self):
        """The next whole line without its end, or None; what follows it stays in `rest`."""
        end = self.rest.find(END)
        if end > self.longest - len(END) or end < 0 and len(self.rest) >= self.longest:
            raise Malformed(f"a line of over {self.longest} bytes")
        if end < 0:
            return None
        line, self.rest = self.rest[:end], self.rest[end + len(END) :]
        return line


class Head:
    """An OPEN line, parsed in place: the line stays as it came, only the place of `d` is known.
    Checked whole before anything is taken: servers answer what they can't use with ERR, and a session
    that is tried at every server would make all of them look ill."""

    def __init__(self, line):
        self.line = line
        words = line.split(b" ")
        if len(words) != 4 or words[0] != b"OPEN" or not all(words):
            raise Malformed("not OPEN, an id, a key and a list of values")
        if not PRINTABLE.fullmatch(line):
            raise Malformed("an OPEN line is printable ASCII")
        self.id, self.key = words[1].decode(), words[2].decode()
        pairs = [pair.partition("=") for pair in words[3].decode().split(",")]
        if not all(name and between for name, between, _ in pairs):
            raise Malformed("the values of an OPEN line are name=value")
        self.values = {name: value for name, _, value in pairs}
        if len(self.values) < len(pairs):
            raise Malformed("a name stands twice in an OPEN line")
        start = len(line) - len(words[3])
        self.d_from = self.d_to = None
        for pair in words[3].split(b","):
            if pair.startswith(b"d="):
                self.d_from, self.d_to = start + 2, start + len(pair)
            start += len(pair) + 1

    def parts(self, left):
        """The line for a server, in pieces to be written together: unchanged but for `d`."""
        if self.d_from is None:
            return self.line, END
        return (
            self.line[: self.d_from],
            b"%d" % max(0, left),
            self.line[self.d_to :],
            END,
        )

    def number(self, name, default=None):
        value = self.values.get(name)
        if value is None:
            return default
        if not NUMBER.fullmatch(value):
            raise Malformed(f"{name} is not a number from 0 on")
        return float(value)

    def flag(self, name):
        value = self.values.get(name, "0")
        if value not in ("0", "1"):
            raise Malformed(f"{name} is neither 0 nor 1")
        return value == "1"


def report(text, names):
    """`inflight=7,util=0.61` in the order of the names asked for, or None where there is none."""
    found = {}
    for pair in text.split(b","):
        name, between, value = pair.partition(b"=")
        if between:
            try:
                found[name.decode("ascii", "replace")] = float(value)
            except ValueError:
                continue
    return [found.get(name) for name in names] if found else None
