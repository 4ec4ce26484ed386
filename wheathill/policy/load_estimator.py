"""Load levels of servers, estimated from probes and from late messages."""

import math
from collections import deque
from statistics import fmean, median


class LoadEstimator:
    """From the last few probe answers to doubling levels."""

    def __init__(
        self, names, proxies, fresh, together, late, full, late_for, floor, tells_late
    ):
        self.tells_late, self.together, self.late_for, self.late = (
            tells_late,
            together,
            late_for,
            late,
        )
        self.overload_threshold, self.names, self.fresh = full, names, fresh
        # Load over capacity says most; a queue or a count of connections only orders the servers.
        self.source = next(
            (name for name in ("x0", "util", "queue") if name in names), None
        )
        self.reports_utilisation = self.source in ("x0", "util")
        self.quota = 1.0 / proxies  # of what all proxies may do together
        # Until some connections are held: this proxy's part of a few dozen in all.
        self.capacity_estimate = 40.0 * self.quota
        self.capacity_samples = deque(maxlen=5)  # the last of what it was found to be
        self.settled_capacity_samples = deque(
            maxlen=5
        )  # the same, since sessions came slowly for the first time
        self.previous_mean_sessions = 0.0  # on a warm server, a tick ago
        # A proxy that has just started holds nothing on servers that others have loaded: without a floor it
        # took each of its connections for a whole server and refused nearly all.
        self.floor = floor
        self.base = 1.0 if self.source == "queue" else 0.25

    def record_sample(self, now, server, report):
        if self.source and report and len(report) == len(self.names):
            if (
                figure := report[self.names.index(self.source)]
            ) is not None and 0 <= figure < math.inf:
                server.load_samples.append((now, figure))

    def load(self, now, server):
        # Smoothed over two that lie close together: an older one says how it was before the rush.
        samples = (
            server.load_samples
        )  # two at most: asked for of dozens of servers a session
        if not samples or samples[-1][0] <= now - self.fresh:
            return None
        (earlier, first), (when, last) = samples[0], samples[-1]
        return (
            (first + last) / 2 if earlier > when - self.together else last
        ) * server.report_correction

    def loads(self, now, servers):
        """Of those that have one: with hundreds of proxies each sees few servers at a time."""
        return {
            server: found
            for server in servers
            if (found := self.load(now, server)) is not None
        }

    def update_capacity_estimate(self, now, warm):
        """What a warm server bears at full load, in this proxy's own connections. A proxy among hundreds
        holds less than one a server: only those on all together, over their mean load, tell it."""
        fresh = [
            server
            for server in warm
            if self.reports_utilisation
            and self.sample_age_ms(now, server) < self.together
        ]
        loads = [
            load / min(1.0, server.report_correction)
            for server, load in self.loads(now, fresh).items()
        ]
        held = sum(len(server.sessions) for server in warm) / max(1, len(warm))
        if held and loads:
            # Not the last alone: one odd report would count for all.
            self.capacity_samples.append(held / max(0.05, fmean(loads)))
            self.capacity_estimate = median(self.capacity_samples)
            # Loads are told later than sessions come: after a start, while they come fast, more stands there
            # than was reported. A first finding of six times the truth pushed all cold servers over.
            if (
                self.settled_capacity_samples
                or held <= 1.5 * self.previous_mean_sessions
            ):
                self.settled_capacity_samples.append(self.capacity_samples[-1])
        self.previous_mean_sessions = held

    @property
    def warm_up_capacity_estimate(self):
        """The same, as far as cold servers may be filled by it."""
        return (
            median(self.settled_capacity_samples)
            if self.settled_capacity_samples
            else min(self.capacity_estimate, 40.0 * self.quota)
        )

    def set_quota(self, share):
        """What is found follows a larger share by itself, but a smaller one too late."""
        less = min(1.0, share / self.quota) if self.quota else 1.0
        self.capacity_samples, self.settled_capacity_samples = (
            deque((each * less for each in kept), 5)
            for kept in (self.capacity_samples, self.settled_capacity_samples)
        )
        self.capacity_estimate = (
            self.capacity_estimate * less if self.capacity_samples else 40.0 * share
        )
        self.quota = share

    def expected_load(self, now, server):
        """The probed load with what this proxy has dialled since; 0 when nothing is known. Without
        it all sessions between two probes would crowd onto the server that looked best."""
        figure = self.load(now, server) if self.reports_utilisation else None
        if figure is None:
            return 0.0
        since = server.load_samples[-1][0] - self.late
        return figure + sum(when > since for when in server.attempt_times_ms) / max(
            self.floor, self.capacity_estimate
        )

    def record_late_message(self, now, server, times):
        """Evidence before belief: where messages miss their target a server is near full at least, whatever
        it reports; so late as `times` the target, and again within 3 s. Each second without such a notice
        takes a part of the doubt back, more where connections of this proxy stand there to tell."""
        again = now - server.last_late_message_ms < 2 * self.late_for
        server.last_late_message_ms = now
        figure = self.load(now, server) if self.reports_utilisation else None
        if figure and times and again:
            server.report_correction = min(
                8.0,
                server.report_correction * max(1.0, 0.95 * min(1.0, times) / figure),
            )

    def update_report_corrections(self, now, servers):
        """Also the other way: one that says it is past its capacity while this proxy's connections there
        hear nothing late says too much. Where late ones are not told, nothing speaks against it."""
        for server in servers:
            if server.report_correction > 1.0 and not self.is_late(now, server):
                server.report_correction = max(
                    1.0, server.report_correction * (0.85 if server.sessions else 0.93)
                )
            elif (
                self.tells_late
                and now - server.last_late_message_ms > self.fresh
                and server.report_correction <= 1.0
            ):
                first = next(iter(server.sessions), None)
                over = (self.load(now, server) or 0.0) >= server.report_correction
                if (
                    not over
                    or first
                    and first.accepted_ms is not None
                    and now - first.accepted_ms > self.fresh
                ):
                    server.report_correction = (
                        max(0.5, server.report_correction * 0.9)
                        if over
                        else min(1.0, server.report_correction * 1.01)
                    )

    def is_late(self, now, server):
        """Told, free of any probe, that messages there miss their target: it is full, by how much unknown."""
        return now - server.last_late_message_ms < self.late_for

    def sample_age_ms(self, now, server):
        return now - server.load_samples[-1][0] if server.load_samples else math.inf

    def level(self, figure):
        return 0 if figure < self.base else 1 + int(math.log2(figure / self.base))

    def levels(self, now, servers):
        if self.source:
            known = self.loads(now, servers)
        else:
            mean = fmean([len(server.sessions) for server in servers] or [0]) or 1.0
            known = {server: len(server.sessions) / mean for server in servers}
        found = {server: self.level(figure) for server, figure in known.items()}
        if 2 * len(found) < len(servers):
            # Exception: with most unknown a level says nothing against the others'. Tables of hundreds of
            # proxies, each shifted by the few figures it happened to see, drift apart, and groups with them.
            found = {}
        middle = int(median(found.values())) if found else 0
        return {server: found.get(server, middle) for server in servers}
