"""The operators' door: who is let in, which path leads where, and what the proxy answers there."""

from functools import partial

from wheathill.net.admin import Call, No


class OperatorsDoor:
    """Holds a few calls at a time, in descriptors that are set aside for it."""

    def __init__(self, proxy):
        self.proxy = proxy
        self.calls = {}  # not over yet, oldest first -> since when
        # Later subsystems add their paths here: (what answers, what the query has to name).
        self.paths = {
            "/status": {"GET": (self.status,)},
            "/status/metrics": {"GET": (proxy.metrics,)},
            "/maintenance/enter": {"PUT": (partial(self.hand, True), "host")},
            "/maintenance/exit": {"PUT": (partial(self.hand, False), "host")},
        }

    def call(self, wire):
        call = Call(wire, self.answer, self.proxy.limits, self.proxy.clock)
        self.calls[call] = self.proxy.now()
        return call

    def room(self):
        """The oldest call makes room: who says nothing must not keep others out. What has come and was not
        read yet is asked for, and a call has some time to come: of fifty callers at once the one that said
        something was among those cut off."""
        for call in [call for call in self.calls if not call.wire.counted]:
            del self.calls[call]
        if len(self.calls) < self.proxy.limits.max_admin_requests:
            return True
        late = self.proxy.now() - self.proxy.limits.min_silence_to_evict_ms
        oldest = next(
            (
                call
                for call, since in self.calls.items()
                if call.done
                or since < late
                and not (call.wire.open and call.wire.unread)
            ),
            None,
        )
        if oldest is None:
            return False
        del self.calls[oldest]
        oldest.make_room()
        return True

    def answer(self, method, path, query):
        ways = self.paths.get(path)
        if ways is None:
            raise No(404, f"no such path; known here: {', '.join(self.paths)}")
        if method not in ways:
            raise No(405, f"{path} takes {' or '.join(ways)}", Allow=", ".join(ways))
        handler, *names = ways[method]
        return handler(*(self.one(query, name) for name in names))

    @staticmethod
    def one(query, name):
        found = query.get(name, ())
        if len(found) != 1 or not found[0]:
            raise No(
                400,
                f"{name} is {'given twice' if len(found) > 1 else 'missing or empty'}",
            )
        return found[0]

    def status(self):
        if not self.proxy.ready or self.proxy.handed_over:
            raise No(
                503,
                "stopping"
                if self.proxy.stopping is not None
                else "handed over to another process"
                if self.proxy.handed_over
                else "starting",
            )
        return {"status": "ready"}

    def hand(self, out, name):
        if not self.proxy.names:
            raise No(503, "starting")
        if name not in self.proxy.names:
            raise No(404, f"{name!r} was never listed here")
        try:
            kept = self.proxy.by_hand(name, out)
        except OSError as wrong:
            raise No(
                500, f"nothing was changed, as it can't be kept: {wrong.strerror}"
            ) from None
        return {"host": name, "out": out, "kept": kept}
