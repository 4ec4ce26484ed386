"""Builds a script's fleet, proxies and clients in either world, lets its events happen, and runs it to its
end."""

import gc
import math
import random
from collections import Counter
from functools import partial

from wheathill.config import operator_tables
from wheathill.config.errors import ConfigurationError
from wheathill.config.limits import ProxyLimits
from wheathill.config.operator_platform import platform_values
from wheathill.lab.cast.callers import Callers
from wheathill.lab.cast.clients import Crowd
from wheathill.lab.cast.discovery import Agent, Registry
from wheathill.lab.cast.front import Front
from wheathill.lab.cast.gateway import Gateway
from wheathill.lab.cast.store import Store
from wheathill.lab.judging.baselines import decisions
from wheathill.lab.judging.fleet import (
    DrainPropagationJudge,
    FaultEffectJudge,
    IsolationJudge,
    MembershipViewJudge,
    QuotaSumJudge,
    ZoneStateJudge,
)
from wheathill.lab.judging.judges import find_breaches
from wheathill.lab.scripts.faults import PeerFaults
from wheathill.lab.scripts.language import (
    BETWEEN_OPEN_AND_UP,
    MEMBER_STATE_SEEN,
    MEMBER_STATES,
    MESSAGES_SENT,
    SERVER_HOLDS,
    SESSIONS_REQUESTED,
    VERIFIED_EVENTS,
    list_gateways,
    proxy_names,
)
from wheathill.lab.scripts.record import Record
from wheathill.lab.worlds.tap import Cut
from wheathill.log_events import LogEvent

FIELDS = ["inflight", "waiting", "cpu", "x0"]
SAMPLE_MS = 500.0


def stand_in_limits(script):
    """Stand-ins take what comes: only proxies are held to limits here."""
    longest = max(item.dial_timeout_ms for item in script.listener)
    return ProxyLimits(
        max_sockets=200_000,
        connect_timeout_ms=10_000.0,
        max_dial_timeout_ms=longest,
        probe_idle_timeout_ms=60_000.0,
        listen_backlog=4096,
        accepts_per_turn=64,
        keepalive_idle_ms=600_000.0,
    )


class Scene(PeerFaults):
    def __init__(self, script, seed, world, policy="module"):
        self.policy = policy
        self.script = script
        self.world = world
        self.clock = world.clock
        self.record = world.record = Record(self.clock)
        self.seed = seed
        self.limits = stand_in_limits(script)
        self.sessions = {}  # session -> its proxy
        self.session_loads = {}  # session -> its load at its server, by mean 1
        self.armed = []  # events that wait for a condition
        self.asked = 0
        self.restarts = {}  # proxy -> alarms of its roll
        self.proofs = {}  # id of an event -> (event, how it is counted whether it took effect)
        self.record.watchers.append(self.watch)
        self.build()

    def chance(self, part):
        """One seed, and for each part its own order of draws."""
        return random.Random(f"{self.seed}/{part}")

    def drawn(self, part, span):
        """A factor between the two of `span`, as likely to be half as double; 1 without one."""
        return (
            1.0
            if span is None
            else math.exp(self.chance(part).uniform(*map(math.log, span)))
        )

    def build(self):
        script, world, record = self.script, self.world, self.record
        store = script.store
        self.store = Store(
            self.clock,
            self.chance("store"),
            record,
            at_once=store.at_once,
            call_ms=store.call_ms,
            queue=store.queue,
        )
        self.registry = Registry(self.clock, record, script.discovery.late_ms, 2000.0)
        self.gateways, self.kinds, memories = {}, {}, {}
        peers = [
            (name, script.zones[place % len(script.zones)])
            for place, name in enumerate(proxy_names(script))
        ]
        for name, kind, zone, cell in list_gateways(script):
            host = world.host(name, zone, self.limits, peers)
            dedup = {}
            for item in script.listener:
                if item.repeat == "referenced":
                    group = {"all": None, "zone": zone, "cell": cell}[item.scope]
                    dedup[item.name] = (
                        item.window_s * 1000,
                        memories.setdefault((item.name, group), {}),
                    )
            gateway = self.gateways[name] = Gateway(
                name,
                host,
                self.limits,
                record,
                self.chance(name),
                self.store,
                dedup,
                cores=kind.cores,
                speed=kind.speed,
                queue=kind.queue,
                setup_ms=kind.setup_ms,
                line_ms=kind.line_ms,
                probe_ms=kind.probe_ms,
                holds=kind.holds,
                warm_from=kind.warm_from,
                warm_s=kind.warm_s,
                falls_over=kind.falls_over,
                fall_window_ms=kind.fall_window_ms,
                falls_at=kind.falls_at,
                report_ms=kind.report_ms,
                fields=FIELDS,
                keeps_ms=10_000.0 if script.proxies.packets_pass else 0.0,
                session_loads=self.session_loads,
                tells_load=kind.tells_load,
            )
            gateway.fallen = self.lost
            self.kinds[name] = kind, zone, cell
            self.registry.set(
                name,
                site=zone,
                block=cell,
                health="ready",
                share=kind.weight * self.drawn(f"weight {name}", kind.weight_error),
                born_ms=0,
            )
        world.decisions = decisions(self.policy, self.gateways)
        held = any(event.do == "proxy-upgrade" for event in script.event)
        only = [
            event.do
            for event in script.event
            if event.do in ("proxy-upgrade", "by-hand", "callers", "way")
        ]
        if only and world.name != "virtual":
            raise ConfigurationError(
                f"event: {only[0]} is played in the virtual world only"
            )
        if script.proxies.peers:
            if world.name == "sockets":
                raise ConfigurationError(
                    "proxies.peers: is played in the virtual world and among processes"
                )
            if any(
                event.when and MESSAGES_SENT.fullmatch(event.when)
                for event in script.event
            ):
                world.ways.watchers.append(self.watch_message)
        for event in script.event if world.name == "processes" else ():
            if event.do not in VERIFIED_EVENTS:
                raise ConfigurationError(
                    f"event: whether {event.do} took effect is not proven in this world"
                )
        for event in script.event if world.name != "processes" else ():
            if event.do in ("proxy-starve", "stranger"):
                raise ConfigurationError(
                    f"event: {event.do} is played among processes only"
                )
        front = world.host("front", None, self.limits)
        shares = script.front.shares and {
            name: self.drawn(f"share {name}", script.front.shares) for name, _ in peers
        }
        self.front = Front(
            front,
            self.limits,
            record,
            script.front.notice_ms,
            script.front.ask_ms,
            shares,
            self.chance("front"),
        )
        self.seats, self.agents = {}, {}
        self.zone_of = dict(peers)
        odd = {item.on: item for item in script.odd}
        for name, zone in peers:
            host = world.host(f"agent-{name}", zone, self.limits)
            agent = self.agents[name] = Agent(
                name, self.registry, host, self.limits, self.dial
            )
            file = self.file_of(name, zone, agent)
            values = {**platform_values(file), "seed": f"{self.seed}/{name}"}
            more = (
                {"held": held}
                if held
                else {"file": file}
                if world.name == "processes"
                else {}
            )
            if script.proxies.peers:
                more["odd"] = odd.get(name)
            if script.proxies.peers and world.name == "virtual":
                more["told"] = world.peers_told(
                    name, dict(peers), script.proxies, odd.get(name)
                )
            self.seats[name] = world.proxy(name, zone, values, record.log(name), **more)
            self.seats[name].calls = "callers" in only
        self.people = world.host("clients", None, self.limits)
        self.crowds = []
        listeners = {item.name: item for item in script.listener}
        for crowd in script.clients:
            listener = listeners[crowd.listener]
            self.crowds.append(
                (
                    crowd,
                    Crowd(
                        self.people,
                        self.limits,
                        self.chance(crowd.name),
                        record,
                        self.front,
                        listener,
                        lambda name: self.seats[name].running,
                        self.session_loads,
                        name=crowd.name,
                        zone=crowd.zone or script.zones[0],
                        desk=crowd.desk,
                        groups=crowd.groups,
                        life=crowd.life_s * 1000,
                        rest=crowd.rest_s * 1000,
                        think=crowd.think_ms,
                        gives_up=crowd.gives_up_ms or listener.dial_timeout_ms + 500.0,
                        retry=crowd.retry,
                        wait=crowd.wait_ms,
                        honours=crowd.honours,
                        tries=crowd.tries,
                        silence=7000.0,
                        returns=crowd.returns,
                        leaves=crowd.leaves,
                        mid_flow=script.proxies.packets_pass,
                        load_sigma=crowd.load_sigma,
                    ),
                )
            )

    def file_of(self, name, zone, agent):
        """What a proxy is told, as an operator's file."""
        script, proxies = self.script, self.script.proxies
        kind = script.gateways[0]
        own = next((item for item in script.instance if item.on == name), None)
        return operator_tables.File(
            name=name,
            listen=self.world.proxy_address(name),
            listener=script.listener,
            discovery=agent.host.address(),
            desk=script.desk,
            zone=script.zones,
            own_zone=zone,
            groups=any(crowd.groups for crowd in script.clients),
            packets_pass=proxies.packets_pass,
            peers=self.world.peers_table(
                name,
                self.zone_of,
                proxies,
                next((item for item in script.odd if item.on == name), None),
            )
            if proxies.peers and self.world.name == "processes"
            else None,
            limits=operator_tables.Limits(
                sockets=own and own.sockets or proxies.sockets,
                dials=proxies.dials,
                memory_mb=own and own.memory_mb or proxies.memory_mb,
                connect_ms=proxies.connect_ms,
                longest_wait_ms=proxies.longest_wait_ms,
            ),
            fleet=operator_tables.Fleet(
                proxies=proxies.meant or proxies.count,
                weights=proxies.weights,
                drain_grace_ms=script.rules.drain_grace_ms,
                cold_s=kind.warm_s,
                cold_start_share=kind.warm_from,
                cold_multiple=script.rules.cold_multiple,
                cold_window_ms=script.rules.cold_window_ms,
                probes=proxies.probes,
                further_dials_s=script.rules.further_dials_s,
                further_dials_free=script.rules.further_dials_free,
                further_dials_share=script.rules.further_dials_share,
                only_draining_binds=script.rules.only_draining_binds,
                report_fields=FIELDS if proxies.probes else [],
            ),
        )

    def dial(self, server, proxy):
        return self.gateways[server].host.address(proxy)

    # Running

    def play(self):
        """Plays the script once; the record holds what was seen."""
        script = self.script
        for name in self.seats:
            self.start_proxy(name)
        self.world.settle()
        for event in script.event:
            if event.at_s is not None:
                self.clock.at(event.at_s * 1000, self.happen, event)
            else:
                self.armed.append(event)
        for crowd, people in self.crowds:
            self.clock.at(
                self.world.opening, people.add, crowd.count, crowd.within_s * 1000
            )
        self.clock.after(SAMPLE_MS, self.sample)
        # What a run holds is held to its end: looking for garbage in it again and again costs a third.
        gc.disable()
        try:
            self.world.run(script.seconds)
        finally:
            gc.enable()
        for event, _ in list(self.proofs.values()):
            self.prove(event)
        for _, people in self.crowds:
            people.stopping = True

    def sample(self):
        self.clock.after(SAMPLE_MS, self.sample)
        self.world.sample()
        for name, gateway in self.gateways.items():
            alive = gateway.host.alive and not gateway.host.silent
            self.record.figure(f"load {name}", gateway.load if alive else 0.0)
            self.record.figure(f"sessions {name}", len(gateway.links) if alive else 0)

    def breaches(self):
        script = self.script
        repeats = {
            item.name: (item.repeat, item.scope, item.window_s * 1000)
            for item in script.listener
        }
        rules = script.rules
        budget = (
            rules.further_dials_free,
            rules.further_dials_share,
            rules.further_dials_s * 1000,
        )
        budget = budget if rules.further_dials_s else None
        return find_breaches(
            self.record.events,
            self.clock.now(),
            slack=self.world.slack(script),
            repeats=repeats,
            grace=script.rules.drain_grace_ms,
            **self.cold_rule(),
            budget=budget,
            gone_binds=not rules.only_draining_binds,
            more=self.fleet_judges() if script.proxies.peers else (),
        )

    def cold_rule(self):
        rules = self.script.rules
        return {
            "multiple": rules.cold_multiple,
            "window": rules.cold_window_ms,
            "proxies": self.script.proxies.count,
        }

    def fleet_judges(self):
        script, limits = self.script, self.script.fleet
        zone_of = self.zone_of if script.proxies.zoned else None
        views = partial(
            MembershipViewJudge,
            odd=[name for item in script.odd for name in (item.on, item.claims)],
            agree=limits.agree_ms,
            false=limits.false_ms,
            known=limits.known_ms,
            zone_of=zone_of,
        )
        told = partial(
            DrainPropagationJudge,
            grace=script.rules.drain_grace_ms,
            within=limits.told_ms,
        )
        zones = (
            (
                partial(
                    ZoneStateJudge,
                    zone_of=zone_of,
                    agree=limits.agree_ms,
                    apart=limits.apart_ms,
                    told=limits.told_ms,
                ),
            )
            if zone_of
            else ()
        )
        return (
            views,
            QuotaSumJudge,
            told,
            FaultEffectJudge,
            partial(IsolationJudge, odd=script.odd, within=limits.agree_ms),
            *zones,
        )

    # Proxies

    def start_proxy(self, name):
        seat, agent = self.seats[name], self.agents[name]
        seat.values = {
            **seat.values,
            "known": agent.known(),
            "seed": f"{self.seed}/{name}/{seat.starts}",
        }
        seat.start()
        self.record.note("host", name=name, state="up")
        self.front.add(name, seat.zone, seat.where)

    def kill_proxy(self, name, state="killed"):
        seat = self.seats[name]
        if seat.running:
            self.record.note("host", name=name, state=state)
            seat.kill()
            self.front.died(name)

    def restart_later(self, name):
        if self.script.proxies.restart_s is None:
            return
        self.clock.after(self.script.proxies.restart_s * 1000, self.start_again, name)

    def start_again(self, name):
        if not self.seats[name].running:
            self.front.drop(name)
            self.start_proxy(name)

    def roll(self, name):
        """A planned restart: told to stop, no newcomers after 0.3 s, killed when it had its time."""
        seat = self.seats[name]
        if seat.running:
            self.clock.after(300.0, self.front.drop, name)
            longest = max(item.dial_timeout_ms for item in self.script.listener)
            started = seat.starts
            ends = self.clock.after(longest + 700.0, self.end_roll, name, started)
            seat.stop(lambda: self.ended(name, ends, started))

    def ended(self, name, ends, started):
        if self.seats[name].starts == started:
            ends.cancel()
            self.end_roll(name, started)

    def end_roll(self, name, started):
        seat = self.seats[name]
        if seat.starts == started and seat.running:
            self.kill_proxy(
                name, "killed" if self.script.proxies.packets_pass else "ended"
            )
            self.restart_later(name)

    # Events

    def watch(self, now, kind, fields):
        if kind == "open":
            self.sessions[fields["sess"]] = fields["proxy"]
            self.asked += 1
        if self.armed and (
            kind in ("open", "dial", "up")
            or kind == "log"
            and fields["event"] == LogEvent.MEMBER_STATE_CHANGED
        ):
            for event in list(self.armed):
                met = self.met(event, kind, fields)
                if met:
                    self.armed.remove(event)
                    self.clock.soon(self.happen, event, *met)

    def met(self, event, kind, fields):
        """(gateway, proxy) that the condition was met by, or None."""
        if match := BETWEEN_OPEN_AND_UP.fullmatch(event.when):
            if kind == "dial" and match["on"] in (None, fields["server"]):
                return fields["server"], self.sessions[fields["sess"]]
        elif match := SERVER_HOLDS.fullmatch(event.when):
            if (
                kind == "up"
                and fields["server"] == match["on"]
                and len(self.gateways[match["on"]].links) >= int(match["count"])
            ):
                return match["on"], self.sessions[fields["sess"]]
        elif match := SESSIONS_REQUESTED.fullmatch(event.when):
            if kind == "open" and self.asked >= int(match["count"]):
                return None, fields["proxy"]
        elif match := MEMBER_STATE_SEEN.fullmatch(event.when):
            if (
                kind == "log"
                and fields["node"] == match["proxy"]
                and fields["peer"] == match["other"]
                and fields["state"] == MEMBER_STATES[match["what"]]
            ):
                return None, match["proxy"]
        return None

    def happen(self, event, gateway=None, proxy=None):
        proxies = event.do.startswith("proxy-")
        on = event.on or (proxy if proxies else gateway)
        self.record.note("event", do=event.do, on=on)
        act = getattr(self, "do_" + event.do.replace("-", "_"))
        undo = act(event, on)
        if self.world.name == "processes":
            self.expect(event, on)
        if event.for_s and undo:
            self.clock.after(event.for_s * 1000, self.undo, event, on, undo)

    def undo(self, event, on, undo):
        self.record.note("event over", do=event.do, on=on)
        if id(event) in self.proofs:
            self.prove(event)
        undo()

    def lost(self, name):
        """Discovery finds out in its time, unless the server is back by then."""
        life = self.gateways[name].host.life
        self.clock.after(
            self.script.discovery.finds_dead_ms, self.find_lost, name, life
        )

    def find_lost(self, name, life):
        host = self.gateways[name].host
        if host.life == life and (host.silent or not host.alive):
            self.registry.set(name, late=0.0, health="gone")

    def come_back(self, name):
        self.start_anew(name)
        self.set_ready(name, born_ms=self.world.wall())

    def start_anew(self, name):
        """Cold, and nobody is told yet."""
        gateway = self.gateways[name]
        gateway.host.come_back(True)
        gateway.begin(self.clock.now())
        kind = self.kinds[name][0]
        self.record.note("host", name=name, state="up")
        self.record.note(
            "cold",
            server=name,
            holds=kind.holds,
            warm_from=kind.warm_from,
            warm=kind.warm_s * 1000,
        )

    def set_ready(self, name, **more):
        self.record.note("ready", server=name)
        self.registry.set(name, health="ready", **more)

    def do_silent(self, event, on):
        self.record.note("host", name=on, state="silent")
        self.gateways[on].host.vanish()
        self.lost(on)
        return lambda: self.come_back(on)

    def do_kill(self, event, on):
        self.record.note("host", name=on, state="killed")
        self.gateways[on].host.kill()
        self.lost(on)
        return lambda: self.come_back(on)

    def do_back(self, event, on):
        self.come_back(on)

    def do_pause(self, event, on):
        host, life = self.gateways[on].host, self.gateways[on].host.life
        self.record.note("host", name=on, state="paused")
        host.pause()

        def resume():
            if host.life == life and host.alive:
                host.resume()
                self.record.note("host", name=on, state="up")

        return resume

    def do_erring(self, event, on):
        return self.change(self.gateways[on], "erring", True)

    def do_slow(self, event, on):
        return self.change(self.gateways[on], "slower", event.factor)

    def do_untrue(self, event, on):
        """Its reports tell `factor` times its load."""
        return self.change(self.gateways[on], "tells", event.factor)

    def do_flap(self, event, on):
        """It dies and is back cold by turns of `within_s`, of which it is down for `share`; the list tells only
        that it was found dead in time. Ends with its next return after `for_s`."""
        until = self.clock.now() + (event.for_s or self.script.seconds) * 1000
        turn = event.within_s * 1000

        def down():
            if self.clock.now() >= until:
                return
            self.record.note("host", name=on, state="killed")
            self.gateways[on].host.kill()
            self.lost(on)
            self.clock.after(turn * event.share, up)

        def up():
            self.start_anew(on)
            self.clock.after(turn * (1 - event.share), down)

        down()

    def do_way(self, event, on):
        """Between two names or zones: `wait_ms` longer each way, and a share lost, which TCP sends again."""
        self.record.note(
            "way", one=on, other=event.with_, wait=event.wait_ms, lost=event.share
        )
        return self.world.worse(on, event.with_, event.wait_ms, event.share)

    def do_costly(self, event, on):
        undo = [
            self.change(gateway, "costlier", event.factor)
            for gateway in self.gateways.values()
        ]
        return lambda: [each() for each in undo]

    @staticmethod
    def change(what, field, value):
        """Events overlap: the end of one takes back its own change only."""
        before = getattr(what, field)
        setattr(what, field, value if isinstance(value, bool) else before * value)
        return lambda: setattr(
            what,
            field,
            before if isinstance(value, bool) else getattr(what, field) / value,
        )

    def do_drain(self, event, on):
        gateway = self.gateways[on]
        self.registry.set(on, health="draining")
        gateway.drain(event.leaves_s * 1000)
        return lambda: self.come_back(on)

    def do_store_slower(self, event, on):
        return self.change(self.store, "slower", event.factor)

    def do_herd(self, event, on):
        for _, crowd in self.crowds:
            crowd.herd(event.share, event.within_s * 1000)

    def do_proxy_kill(self, event, on):
        self.kill_proxy(on)
        self.restart_later(on)

    def do_proxy_roll(self, event, on):
        self.roll(on)

    def do_proxy_upgrade(self, event, on):
        """Another process beside the running one, which is then told to stop."""
        seat, agent = self.seats[on], self.agents[on]
        seat.values = {
            **seat.values,
            "known": agent.known(),
            "seed": f"{self.seed}/{on}/{seat.starts}",
        }
        seat.upgrade(max(item.dial_timeout_ms for item in self.script.listener))

    def do_by_hand(self, event, on):
        """Left out by a call at every proxy's door, restarted after `leaves_s`, and put back."""
        for name, seat in self.seats.items():
            self.record.note("out by hand", proxy=name, server=on)
            seat.proxy.set_maintenance(on, True)
        gateway = self.gateways[on]

        def restart():
            self.record.note("host", name=on, state="killed")
            gateway.host.kill()
            self.come_back(on)

        def put_back():
            for name, seat in self.seats.items():
                self.record.note("put back", proxy=name, server=on)
                seat.proxy.set_maintenance(on, False)

        self.clock.after(event.leaves_s * 1000, restart)
        return put_back

    def do_callers(self, event, on):
        """They call the process that runs now."""
        return Callers(
            self.people, self.limits, self.record, on, self.seats[on].admin, event.times
        ).stop

    def do_proxy_pause(self, event, on):
        self.record.note("host", name=on, state="paused")
        self.seats[on].pause()

        def resume():
            self.seats[on].resume()
            self.record.note("host", name=on, state="up")

        return resume

    def do_proxy_reload(self, event, on):
        if self.seats[on].running:
            self.seats[on].reload()

    def agents_of(self, on):
        return [self.agents[on]] if on in self.agents else list(self.agents.values())

    def do_list_unreachable(self, event, on):
        for agent in self.agents_of(on):
            agent.set_reachable(False)
        return lambda: [agent.set_reachable(True) for agent in self.agents_of(on)]

    def do_list_torn(self, event, on):
        for agent in self.agents_of(on):
            agent.reset_watches()

    def do_list_restarted(self, event, on):
        for agent in self.agents_of(on):
            agent.restart()

    def do_list_moved(self, event, on):
        """The agents answer at other addresses; the proxies are told by a new configuration and SIGHUP."""
        for agent in self.agents_of(on):
            agent.host.kill()
            agent.moves += 1
            agent.host = self.world.host(
                f"agent-{agent.name}-{agent.moves}", agent.host.zone, self.limits
            )
            agent.listen()
            seat = self.seats[agent.name]
            seat.values = {**seat.values, "discovery": agent.host.address()}
            if seat.running:
                seat.reload()

    def do_list_lies(self, event, on):
        """The list names it as ready, whatever has become of it."""
        self.set_ready(on)
        return lambda: self.registry.set(on, late=0.0, health="gone")

    def do_partition(self, event, on):
        self.world.cut(on, event.with_, not event.one_way)
        self.record.note("partition", one=on, other=event.with_, one_way=event.one_way)
        return lambda: self.world.mend(on, event.with_)

    def do_cut(self, event, on):
        host = self.people if on == "clients" else self.gateways[on].host
        host.cuts.append(
            Cut(event.word, event.bytes, event.wait_ms, event.then, event.times)
        )


def counts(record):
    """How the run went, in figures; the same for both worlds."""
    found = Counter()
    for _, kind, fields in record.events:
        if kind == "answer":
            found["answer " + fields["word"]] += 1
        elif kind == "ran":
            found["ran as a copy" if fields["copy"] else "ran"] += 1
        elif kind in (
            "open",
            "dial",
            "moved",
            "cut",
            "broken",
            "unanswered",
            "fell over",
            "not held",
        ):
            found[{"open": "sessions", "dial": "dials"}.get(kind, kind)] += 1
    found.update(record.counts)
    return dict(sorted(found.items()))
