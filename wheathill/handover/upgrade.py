"""An upgrade as one process sees it: whom it takes over from, and who takes over from it."""

import math

from wheathill.handover.talk import Giver, Taker


class Upgrade:
    """`begin` ends with the proxy serving, from another's state or from nothing; then another may come.
    Of the processes on one clients' socket only one accepts at a time."""

    def __init__(self, proxy, carrier, clock, log_event):
        self.proxy, self.carrier, self.clock, self.log_event = (
            proxy,
            carrier,
            clock,
            log_event,
        )
        self.name = f"wheathill-{proxy.node.mark}.up"
        self.taker = self.giver = self.place = None
        self.tried_since = None
        self.cold_since = self.free_dials = None  # of the budgets that were given away
        proxy.upgrade = self
        proxy.door.hold(True)

    # The new process

    def begin(self):
        now = self.clock.now()
        self.tried_since = now if self.tried_since is None else self.tried_since
        try:
            self.taker = self.carrier.reach(
                self.proxy.node.state,
                self.name,
                lambda post: Taker(post, self.proxy, self),
            ).machine
        except OSError as wrong:
            self.from_nothing(wrong.strerror)

    def taken(self, taker, why):
        """The old process has told all, and accepts no longer."""
        if why:
            self.log_event("bad handover", what=why)
        else:
            self.log_event(
                "took over", servers=len(self.proxy.servers), after=self.took()
            )
        self.serve(why is None)

    def taker_over(self, taker, why):
        if taker.took:
            self.log_event("old process gone", why=why)
        elif why == BUSY and self.took() < self.proxy.limits.handover:
            self.clock.after(self.proxy.limits.handover_again, self.begin)
        else:
            self.from_nothing(why)

    def took(self):
        return round(self.clock.now() - self.tried_since, 1)

    def from_nothing(self, why):
        self.log_event("no handover", why=why)
        self.serve(False)

    def serve(self, taken):
        self.meet()
        self.proxy.start(taken)
        if self.proxy.stopping is None:
            self.proxy.door.hold(False)
            self.log_event("accepting")

    def meet(self):
        try:
            self.place = self.carrier.meet(
                self.proxy.node.state,
                self.name,
                lambda post: Giver(post, self.proxy, self),
            )
        except OSError as wrong:
            self.log_event(
                "no handover", why=f"nobody can take over from here: {wrong.strerror}"
            )

    # The old process

    def busy(self):
        """Why it can't be taken over from now, or None."""
        return BUSY if self.giver else None

    def asked(self, giver):
        """Nobody is let in any more. What may go to cold servers, and what further dials are left, is told
        whole: none of it stays here."""
        self.giver = giver
        self.proxy.door.hold(True)

    def told(self):
        cold = self.proxy.balancer.cold
        self.cold_since, cold.since = cold.since, math.inf
        budget = self.proxy.balancer.budget
        self.free_dials, budget.free = budget.free, -math.inf

    def given(self, giver, whole):
        self.proxy.handed_over = True
        self.log_event(
            "handed over", whole=whole is True, sessions=len(self.proxy.clients)
        )
        if self.place:
            self.place.close()
            self.place = None

    def giver_over(self, giver, why):
        """The new process is gone: this one goes on, unless it is told to stop."""
        if giver is not self.giver:
            return
        self.giver = None
        self.proxy.handed_over = False
        if self.cold_since is not None:
            self.proxy.balancer.cold.since = self.cold_since
            self.proxy.balancer.budget.free = self.free_dials
        self.log_event("handover undone", why=why)
        if self.proxy.stopping is None:
            self.proxy.door.hold(False)
            if self.place is None:
                self.meet()

    # Both

    def hand(self, name, out, told):
        """An operator's call counts for all processes of this proxy."""
        for talk in (self.taker, self.giver):
            if talk and talk is not told and not talk.over and talk.agreed:
                talk.hand(name, out)


BUSY = "another upgrade is under way"
