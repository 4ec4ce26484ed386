"""Faults of proxies that know their peers and of the links between them.

The effect of each fault is counted independently of the proxies.
"""

from wheathill.lab.scripts.language import MESSAGES_SENT, expand_names
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.frames import FrameAuthenticator, FrameRejectedError

BUSY_PROCESS_COUNT = 4  # on the core of a starved proxy
STRANGER_MESSAGE_COUNT = 200


class PeerFaults:
    """The faults of links and proxies, and the effect counters. A mixin of `scene.Scene`.

    Each `effect_of_` method is named after an event and returns a function that counts how
    often the event took effect. Each `do_` method starts the event and returns a function
    that ends it, or None.
    """

    # Effect counters

    def track_effect(self, event, on):
        """Keep the function that counts the effects of an event until the event ends.

        An event without any effect makes the run fail.
        """
        make_counter = getattr(self, "effect_of_" + event.do.replace("-", "_"), None)
        if id(event) not in self.effect_counters and make_counter is not None:
            self.effect_counters[id(event)] = event, make_counter(event, on)

    def record_effect(self, event):
        """Record how often an event took effect."""
        _, count = self.effect_counters.pop(id(event))
        self.record.note("effect", do=event.do, on=event.on, count=count())

    def link_event_counter(self, links, *kinds):
        """Return a function that counts what happens on these links from now on."""
        before = [sum(link.seen[kind] for kind in kinds) for link in links]
        return lambda: sum(
            sum(link.seen[kind] for kind in kinds) - start
            for link, start in zip(links, before)
        )

    def effect_of_proxy_kill(self, event, on):
        """Count 1 once the process has ended."""
        process = self.seats[on].process
        return lambda: int(process is None or process.poll() is not None)

    effect_of_proxy_roll = effect_of_proxy_kill

    def effect_of_proxy_pause(self, event, on):
        """Count 1 if the process is stopped by a signal, or has ended."""
        seat = self.seats[on]
        return lambda: int(seat.state() == "T" or not seat.running)

    def effect_of_kill(self, event, on):
        """Count how often the gateway was killed."""
        return lambda: sum(
            kind == "host" and fields["name"] == on and fields["state"] == "killed"
            for _, kind, fields in self.record.events
        )

    def effect_of_back(self, event, on):
        """Count 1 if the gateway is running."""
        return lambda: int(self.gateways[on].host.alive)

    def effect_of_silent(self, event, on):
        """Count 1 if the gateway is silent."""
        return lambda: int(self.gateways[on].host.silent)

    def effect_of_drain(self, event, on):
        """Count how often a proxy was told about the gateway."""
        return lambda: sum(
            kind == "told" and fields["server"] == on
            for _, kind, fields in self.record.events
        )

    def effect_of_slow(self, event, on):
        """Count 1 if the gateway is slowed down."""
        return lambda: int(self.gateways[on].slowdown != 1.0)

    def effect_of_store_slower(self, event, on):
        """Count 1 if the store is slowed down."""
        return lambda: int(self.store.slowdown != 1.0)

    def effect_of_list_unreachable(self, event, on):
        """Count the discovery agents that are down."""
        return lambda: sum(agent.down for agent in self.agents_of(on))

    def effect_of_list_lies(self, event, on):
        """Count 1 if the registry lists the gateway as ready."""
        return lambda: int(self.registry.entries[on]["health"] == "ready")

    def effect_of_herd(self, event, on):
        """Count the sessions requested since the start of the event."""
        before = self.requested_sessions
        return lambda: self.requested_sessions - before

    def effect_of_partition(self, event, on):
        """Count the cuts in the network."""
        return lambda: len(self.world.distance.cuts)

    def effect_of_stranger(self, event, on):
        """Count the stranger's messages."""
        return lambda: self.record.counts["strange messages"]

    # Links

    def do_link(self, event, on):
        """Cut each link between `on` and `with`, or apply the faults given in the fields."""
        links = self.world.ways.between(
            expand_names(self.script, on),
            expand_names(self.script, event.with_),
            event.one_way,
        )
        kinds = [
            kind
            for kind, enabled in (
                ("cut", event.cut),
                ("lost", event.loss),
                ("late", event.wait_ms),
                ("doubled", event.doubled),
                ("overtaken", event.overtaken),
                ("spoilt", event.spoilt),
                ("crawled", event.crawl),
                ("stream " + event.then, event.then != "on"),
            )
            if enabled
        ]
        self.effect_counters[id(event)] = event, self.link_event_counter(links, *kinds)
        if event.cut:
            self.world.ways.cut(links, True)
        changes = {
            field: getattr(event, field)
            for field in ("loss", "wait_ms", "doubled", "overtaken", "spoilt", "crawl")
            if getattr(event, field)
        }
        if event.then != "on":
            changes.update(then=event.then, after=event.bytes)
        undo_changes = self.world.ways.change(links, changes)

        def restore():
            undo_changes()
            if event.cut:
                self.world.ways.cut(links, False)

        return restore

    def do_link_flap(self, event, on):
        """Cut and restore links in periods of `within_s`; `share` of each period is cut."""
        links = self.world.ways.between(
            expand_names(self.script, on),
            expand_names(self.script, event.with_),
            event.one_way,
        )
        self.effect_counters[id(event)] = event, self.link_event_counter(links, "cut")
        period_ms, state = event.within_s * 1000, {"cut": False, "over": False}

        def set_cut(cut):
            if not state["over"] and state["cut"] is not cut:
                state["cut"] = cut
                self.world.ways.cut(links, cut)
            if not state["over"]:
                self.clock.after(
                    period_ms * (event.share if cut else 1 - event.share),
                    set_cut,
                    not cut,
                )

        set_cut(True)

        def restore():
            set_cut(False)
            state["over"] = True

        return restore

    def do_split(self, event, on):
        """Cut all connections between the parts.

        Between two proxies the links are cut, between a proxy and another process the
        network of the world.
        """
        parts = [expand_names(self.script, part) for part in event.parts]
        links, pairs = [], []
        for index, part in enumerate(parts):
            for other in parts[index + 1 :]:
                links += self.world.ways.between(
                    [name for name in part if name in self.seats],
                    [name for name in other if name in self.seats],
                    False,
                )
                pairs += [
                    (one, two)
                    for one in part
                    for two in other
                    if (one in self.seats) is not (two in self.seats)
                ]
        self.effect_counters[id(event)] = event, self.link_event_counter(links, "cut")
        self.world.ways.cut(links, True)
        for one, two in pairs:
            self.world.cut(one, two, True)
            self.record.note("partition", one=one, other=two, one_way=False)

        def restore():
            self.world.ways.cut(links, False)
            for one, two in pairs:
                self.world.mend(one, two)

        return restore

    def do_ring(self, event, on):
        """Leave each proxy only the link to the next one, so that the links form a ring."""
        names = expand_names(self.script, on)
        successors = dict(zip(names, [*names[1:], names[0]]))
        links = [
            self.world.ways.way(one, other)
            for one in names
            for other in names
            if one != other and successors[one] != other
        ]
        self.effect_counters[id(event)] = event, self.link_event_counter(links, "cut")
        self.world.ways.cut(links, True)
        return lambda: self.world.ways.cut(links, False)

    def do_replay(self, event, on):
        """Record messages from now on, and send all of them again after `for_s`."""
        pairs = [
            (one, other)
            for one in expand_names(self.script, on)
            for other in expand_names(self.script, event.with_)
            if one != other
        ]
        for pair in pairs:
            self.world.ways.way(*pair).kept = []

        def replay():
            for pair in pairs:
                self.world.ways.replay(*pair)
                self.world.ways.way(*pair).kept = None
            count = sum(self.world.ways.way(*pair).seen["replayed"] for pair in pairs)
            self.record.note("effect", do="replay", on=on, count=count)

        return replay

    def do_proxy_starve(self, event, on):
        """Run busy processes on the CPU core of a proxy."""
        seat = self.seats[on]
        seat.starve(BUSY_PROCESS_COUNT)
        before = seat.waited_ms()
        # A proxy that rarely runs waits only briefly. On an idle core it waits for less than 50 ms in total.
        self.effect_counters[id(event)] = (
            event,
            lambda: int(seat.waited_ms() - before > 50.0),
        )
        return seat.feed

    def do_stranger(self, event, on):
        """Send invalid messages to a proxy from outside the cluster, perhaps with its key."""
        with open(self.world.key, "rb") as key_file:
            key = key_file.read() if event.key else b"not the cluster's key"
        Stranger(
            self.world,
            list(self.seats),
            on,
            FrameAuthenticator(
                cluster="lab", shared_key=key, name="stranger", generation=7
            ),
            self.random_source("stranger"),
        ).begin()
        return None

    def observe_message(self, sender, kind):
        """Start the events that wait for this number of messages of one kind."""
        for event in list(self.waiting_events):
            match = event.when and MESSAGES_SENT.fullmatch(event.when)
            if (
                match
                and match["proxy"] == sender
                and match["kind"] == kind
                and self.world.ways.sent[sender, kind] >= int(match["count"])
            ):
                self.waiting_events.remove(event)
                self.clock.soon(self.start_event, event, None, sender)


class Stranger(ProtocolMachine):
    """A sender outside the cluster that sends false claims and random bytes to a proxy.

    It learns the generation of the proxy from a stream, as any client can.
    """

    def __init__(self, world, members, target, authenticator, random_source):
        super().__init__(world, world.carrier.limits, world.clock)
        self.world, self.members, self.target = world, members, target
        self.authenticator = authenticator
        self.randbytes = random_source.randbytes
        self.generation = self.sent_count = 0

    def begin(self):
        """Open a stream to the proxy to learn its generation."""
        self.connection = self.world.carrier.connect(
            self, self.world.peers[self.target][0]
        )

    def received(self, data):
        """Read the proxy's generation from its first frame and start sending."""
        try:
            self.authenticator.decode_frame(bytes(data))
        except FrameRejectedError as error:
            self.generation = error.sender_generation or 0
        self.connection.abort()
        self.send_next()

    def send_next(self):
        """Send one datagram, and schedule the next one."""
        false_claims = [
            ["dead", name, "127.0.0.1:9", 1 << 40, 1, "stranger"]
            for name in self.members
        ]
        messages = [
            ["", True, 1.0, ["ping", 1, "stranger", false_claims]],
            ["", True, 1.0, ["state", false_claims]],
            ["hello"],
            ["", True],
            ["", True, 1.0, ["seen", [["g1", 0, 0.0]]]],
            ["", True, 1e300, ["starts", [["g1", 1e18]]]],
        ]
        frame = (
            self.authenticator.encode_frame(
                self.generation, messages[self.sent_count % len(messages)]
            )
            if self.sent_count % 7
            else self.randbytes(60)
        )
        endpoint = next(
            endpoint
            for name, endpoint in self.world.ways.ends.items()
            if name != self.target
        )
        endpoint.put(frame, self.world.peers[self.target][0])
        self.sent_count += 1
        self.world.record.counts["strange messages"] += 1
        if self.sent_count < STRANGER_MESSAGE_COUNT:
            self.clock.after(5.0, self.send_next)
