"""What a script does to instances that know their peers, and to what passes between them; and the proof that each
fault took effect, counted from outside."""

from wheathill.lab.scripts.language import MESSAGES_SENT, expand_names
from wheathill.net.protocol_machine import ProtocolMachine
from wheathill.peers.frames import FrameAuthenticator, FrameRejectedError

NEIGHBOURS = 4  # busy processes beside a starved one
STRANGE = 200  # messages of a stranger


class PeerFaults:
    """A part of `scene.Scene`."""

    # Proofs

    def expect(self, event, on):
        """How many times the fault has done something, asked when it ends; none is a failed run."""
        proof = getattr(self, "proof_" + event.do.replace("-", "_"), None)
        if id(event) not in self.proofs and proof is not None:
            self.proofs[id(event)] = event, proof(event, on)

    def prove(self, event):
        _, count = self.proofs.pop(id(event))
        self.record.note("effect", do=event.do, on=event.on, count=count())

    def counted(self, ways, *kinds):
        """What is done to these ways from now on."""
        before = [sum(way.seen[kind] for kind in kinds) for way in ways]
        return lambda: sum(
            sum(way.seen[kind] for kind in kinds) - was
            for way, was in zip(ways, before)
        )

    def proof_proxy_kill(self, event, on):
        process = self.seats[on].process
        return lambda: int(process is None or process.poll() is not None)

    proof_proxy_roll = proof_proxy_kill

    def proof_proxy_pause(self, event, on):
        seat = self.seats[on]
        return lambda: int(seat.state() == "T" or not seat.running)

    def proof_kill(self, event, on):
        return lambda: sum(
            kind == "host" and fields["name"] == on and fields["state"] == "killed"
            for _, kind, fields in self.record.events
        )

    def proof_back(self, event, on):
        return lambda: int(self.gateways[on].host.alive)

    def proof_silent(self, event, on):
        return lambda: int(self.gateways[on].host.silent)

    def proof_drain(self, event, on):
        return lambda: sum(
            kind == "told" and fields["server"] == on
            for _, kind, fields in self.record.events
        )

    def proof_slow(self, event, on):
        return lambda: int(self.gateways[on].slower != 1.0)

    def proof_store_slower(self, event, on):
        return lambda: int(self.store.slower != 1.0)

    def proof_list_unreachable(self, event, on):
        return lambda: sum(agent.down for agent in self.agents_of(on))

    def proof_list_lies(self, event, on):
        return lambda: int(self.registry.entries[on]["health"] == "ready")

    def proof_herd(self, event, on):
        before = self.asked
        return lambda: self.asked - before

    def proof_partition(self, event, on):
        return lambda: len(self.world.distance.cuts)

    def proof_stranger(self, event, on):
        return lambda: self.record.counts["strange messages"]

    # Links

    def do_link(self, event, on):
        """Between each of `on` and each of `with`: cut, or what its fields say."""
        ways = self.world.ways.between(
            expand_names(self.script, on),
            expand_names(self.script, event.with_),
            event.one_way,
        )
        kinds = [
            kind
            for kind, set_ in (
                ("cut", event.cut),
                ("lost", event.loss),
                ("late", event.wait_ms),
                ("doubled", event.doubled),
                ("overtaken", event.overtaken),
                ("spoilt", event.spoilt),
                ("crawled", event.crawl),
                ("stream " + event.then, event.then != "on"),
            )
            if set_
        ]
        self.proofs[id(event)] = event, self.counted(ways, *kinds)
        if event.cut:
            self.world.ways.cut(ways, True)
        changes = {
            field: getattr(event, field)
            for field in ("loss", "wait_ms", "doubled", "overtaken", "spoilt", "crawl")
            if getattr(event, field)
        }
        if event.then != "on":
            changes.update(then=event.then, after=event.bytes)
        undo = self.world.ways.change(ways, changes)

        def mend():
            undo()
            if event.cut:
                self.world.ways.cut(ways, False)

        return mend

    def do_link_flap(self, event, on):
        """Cut and whole by turns of `within_s`, cut for `share` of each."""
        ways = self.world.ways.between(
            expand_names(self.script, on),
            expand_names(self.script, event.with_),
            event.one_way,
        )
        self.proofs[id(event)] = event, self.counted(ways, "cut")
        turn, state = event.within_s * 1000, {"cut": False, "over": False}

        def change(cut):
            if not state["over"] and state["cut"] is not cut:
                state["cut"] = cut
                self.world.ways.cut(ways, cut)
            if not state["over"]:
                self.clock.after(
                    turn * (event.share if cut else 1 - event.share), change, not cut
                )

        change(True)

        def mend():
            change(False)
            state["over"] = True

        return mend

    def do_split(self, event, on):
        """Nothing passes between any two parts: of instances by their ways, of others by the stand-ins."""
        parts = [expand_names(self.script, part) for part in event.parts]
        ways, pairs = [], []
        for place, part in enumerate(parts):
            for other in parts[place + 1 :]:
                ways += self.world.ways.between(
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
        self.proofs[id(event)] = event, self.counted(ways, "cut")
        self.world.ways.cut(ways, True)
        for one, two in pairs:
            self.world.cut(one, two, True)
            self.record.note("partition", one=one, other=two, one_way=False)

        def mend():
            self.world.ways.cut(ways, False)
            for one, two in pairs:
                self.world.mend(one, two)

        return mend

    def do_ring(self, event, on):
        """Each is heard by the next one alone."""
        names = expand_names(self.script, on)
        follows = dict(zip(names, [*names[1:], names[0]]))
        ways = [
            self.world.ways.way(one, other)
            for one in names
            for other in names
            if one != other and follows[one] != other
        ]
        self.proofs[id(event)] = event, self.counted(ways, "cut")
        self.world.ways.cut(ways, True)
        return lambda: self.world.ways.cut(ways, False)

    def do_replay(self, event, on):
        """Recorded from now on; all of it comes once more when `for_s` is over."""
        ways = [
            (one, other)
            for one in expand_names(self.script, on)
            for other in expand_names(self.script, event.with_)
            if one != other
        ]
        for pair in ways:
            self.world.ways.way(*pair).kept = []

        def again():
            for pair in ways:
                self.world.ways.replay(*pair)
                self.world.ways.way(*pair).kept = None
            count = sum(self.world.ways.way(*pair).seen["replayed"] for pair in ways)
            self.record.note("effect", do="replay", on=on, count=count)

        return again

    def do_proxy_starve(self, event, on):
        seat = self.seats[on]
        seat.starve(NEIGHBOURS)
        before = seat.waited_ms()
        # A process that is seldom wanted waits little: a twentieth of a second is more than an idle core gives.
        self.proofs[id(event)] = event, lambda: int(seat.waited_ms() - before > 50.0)
        return seat.feed

    def do_stranger(self, event, on):
        """Somebody who knows an instance's address, and perhaps the key, sends what it likes."""
        with open(self.world.key, "rb") as source:
            key = source.read() if event.key else b"not the cluster's key"
        Stranger(
            self.world,
            list(self.seats),
            on,
            FrameAuthenticator(
                cluster="lab", shared_key=key, name="stranger", generation=7
            ),
            self.chance("stranger"),
        ).begin()
        return None

    def watch_message(self, one, kind):
        for event in list(self.armed):
            match = event.when and MESSAGES_SENT.fullmatch(event.when)
            if (
                match
                and match["proxy"] == one
                and match["kind"] == kind
                and self.world.ways.sent[one, kind] >= int(match["count"])
            ):
                self.armed.remove(event)
                self.clock.soon(self.happen, event, None, one)


class Stranger(ProtocolMachine):
    """Learns an instance's generation from a stream, as anybody can, and then sends it lies and nonsense."""

    def __init__(self, world, members, on, authenticator, chance):
        super().__init__(world, world.carrier.limits, world.clock)
        self.world, self.members, self.on = world, members, on
        self.authenticator = authenticator
        self.randbytes = chance.randbytes
        self.generation = self.sent = 0

    def begin(self):
        self.connection = self.world.carrier.connect(self, self.world.peers[self.on][0])

    def received(self, data):
        try:
            self.authenticator.decode_frame(bytes(data))
        except FrameRejectedError as error:
            self.generation = error.sender_generation or 0
        self.connection.abort()
        self.say()

    def say(self):
        lies = [
            ["dead", name, "127.0.0.1:9", 1 << 40, 1, "stranger"]
            for name in self.members
        ]
        words = [
            ["", True, 1.0, ["ping", 1, "stranger", lies]],
            ["", True, 1.0, ["state", lies]],
            ["hello"],
            ["", True],
            ["", True, 1.0, ["seen", [["g1", 0, 0.0]]]],
            ["", True, 1e300, ["starts", [["g1", 1e18]]]],
        ]
        frame = (
            self.authenticator.encode_frame(
                self.generation, words[self.sent % len(words)]
            )
            if self.sent % 7
            else self.randbytes(60)
        )
        end = next(end for name, end in self.world.ways.ends.items() if name != self.on)
        end.put(frame, self.world.peers[self.on][0])
        self.sent += 1
        self.world.record.counts["strange messages"] += 1
        if self.sent < STRANGE:
            self.clock.after(5.0, self.say)
