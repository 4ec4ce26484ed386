"""Servers that drain or have started anew, told to one and so told to all. Free of I/O.

Whoever is told by its own list that a server drains says so to the others, with the start of the server's process
that it concerns, and counts what it has said of it. A server drains here while any of them says so. Nothing brings
it back but something newer: a later start of the server; this proxy's own list, which has called it draining and then
ready; or the one who said it, in the same life, with a later count. A word that comes late, again, or from a member
that has come back is older than one of these, and changes nothing.
"""


class Drains:
    MOST = 1024  # servers

    def __init__(self):
        self.mine = {}  # server -> [count, draining, start of its process or 0.0]
        # server -> {(source, birth): (count, draining, start, whether the own list has said so since)}
        self.others = {}
        self.listed = {}  # server -> whether the own list calls it draining

    # The own list

    def list_says(self, server, draining, started):
        """What the own list says now, in its order. Returns what is to be told to others, or None."""
        before = self.listed.get(server, False)
        self.listed[server] = draining
        if draining == before:
            return None
        said = self.others.get(server, {})
        for source, (count, drains, since, covered) in said.items():
            # The list has caught up with whoever said so before it; then it is the newer witness. A word that
            # came in between may be of another drain, of which the list doesn't know yet: that one stays.
            said[source] = (
                count,
                drains and (draining or not covered),
                since,
                covered or draining,
            )
        count = self.mine.get(server, (0,))[0] + 1
        self.mine[server] = [count, draining, started or 0.0]
        for kept in (self.mine, self.listed):
            while len(kept) > self.MOST:
                del kept[next(iter(kept))]
        return [server, *self.mine[server]]

    def told(self):
        """All that the others have to know: [server, count, draining, start] each."""
        return [[server, *said] for server, said in self.mine.items()]

    # Others

    def hear(self, source, birth, said):
        """Returns the servers whose state may have changed by it."""
        changed = []
        for server, count, draining, started in said:
            known = self.others.get(server, {}).get((source, birth))
            if known is not None and known[0] >= count:
                continue
            self.others.setdefault(server, {})[source, birth] = (
                count,
                bool(draining),
                float(started),
                False,
            )
            changed.append(server)
        while len(self.others) > self.MOST:
            del self.others[next(iter(self.others))]
        return changed

    def drains(self, server, started):
        """Whether any says that it drains, of the process that started then (wall clock, ms; 0.0: not told)."""
        return any(
            draining and (started or 0.0) <= since
            for _, draining, since, _ in self.others.get(server, {}).values()
        )


class Starts:
    """When each server's process started, by the wall clock of whoever keeps the list: the latest that anyone was told
    counts, so that a word that comes late or again changes nothing."""

    MOST = 4096
    AHEAD = 60_000.0  # ms; what lies further in the future is no start

    def __init__(self):
        self.latest = {}  # server -> ms, Unix

    def hear(self, wall, said):
        """Returns the servers of which it is news."""
        news = []
        for server, started in said:
            if self.latest.get(server, 0.0) < started <= wall + self.AHEAD:
                self.latest[server] = float(started)
                news.append(server)
        while len(self.latest) > self.MOST:
            del self.latest[next(iter(self.latest))]
        return news

    def of(self, server, started):
        return max(started or 0.0, self.latest.get(server, 0.0))
