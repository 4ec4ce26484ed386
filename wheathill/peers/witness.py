"""What instances have seen of servers, set beside one another. Free of I/O.

Each tells what it has seen by itself in the last seconds, never what it was told: evidence has one source and
travels once. Two questions are answered. Does a server fail for all, so that this proxy need not find out by
sessions of its own? Does one fail for this proxy alone, so that the way is to blame and not the server?

A witness whose word is contradicted counts less: one behind a bad way calls many servers bad that others are served
by. What this proxy sees itself is newer than what it is told, and beats it.
"""

WELL, BAD = 1, 0


class Witnesses:
    """`fresh`: ms that evidence weighs anything."""

    MOST_SERVERS = 4096
    TOGETHER = 300.0  # ms between what two saw of one server, at the most, for them to contradict
    ENOUGH = 1.5  # weight of witnesses that agree: two at least

    def __init__(self, fresh):
        self.fresh = fresh
        self.said = {}  # server -> {source: (BAD or WELL, when it was seen)}

    def tell(self, now, source, evidence):
        """`evidence`: [server, BAD or WELL, how old in ms] each, as seen by `source` itself."""
        for server, how, age in evidence:
            if how not in (WELL, BAD) or not 0 <= age < self.fresh:
                continue
            said = self.said.setdefault(server, {})
            if said.get(source, (how, -1.0))[1] <= now - age:
                said[source] = how, now - age
        while len(self.said) > self.MOST_SERVERS:
            del self.said[next(iter(self.said))]

    def forget(self, source):
        for said in self.said.values():
            said.pop(source, None)

    def recent(self, now, server):
        said = self.said.get(server, {})
        for source in [
            source for source, (_, when) in said.items() if now - when >= self.fresh
        ]:
            del said[source]
        return said

    def weights(self, now):
        """source -> 1, less the share of the servers it calls bad that as many others are served by."""
        claims, denied = {}, {}
        for server in list(self.said):
            said = self.recent(now, server)
            if not said:
                del self.said[server]
                continue
            well = sum(how == WELL for how, _ in said.values())
            for source, (how, _) in said.items():
                if how == BAD:
                    claims[source] = claims.get(source, 0) + 1
                    denied[source] = denied.get(source, 0) + (2 * well >= len(said))
        return {
            source: 1.0 - denied[source] / count for source, count in claims.items()
        }

    def verdicts(self, now, own):
        """(servers that fail for all, servers that fail here alone). `own`: {server: (BAD or WELL, when)} of
        this proxy's own last sight."""
        weights = self.weights(now)
        all_over, here = [], []
        for server in sorted(self.said):
            said = self.said[server]
            against = sum(
                weights.get(source, 1.0)
                for source, (how, _) in said.items()
                if how == BAD
            )
            # One that is served now speaks against all that were not: a server that is there serves somebody.
            well = [when for how, when in said.values() if how == WELL]
            bad = [when for how, when in said.values() if how == BAD]
            mine, when = own.get(server, (None, None))
            # Served after it failed here, or so soon before that a way hardly broke for all between.
            if (
                mine == BAD
                and not bad
                and sum(seen > when - self.TOGETHER for seen in well) >= 2
            ):
                here.append(server)
            elif (
                against >= self.ENOUGH
                and not (well and max(well) > min(bad))
                and not (mine == WELL and when >= min(bad))
            ):
                all_over.append(server)
        return all_over, here
