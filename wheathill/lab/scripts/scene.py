"""Builds the system of a script in one of the worlds, and runs it with the events of the script."""

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
from wheathill.lab.cast.clients import ClientPopulation
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
from wheathill.lab.scripts.planned_kill import planned_kill_delay_ms
from wheathill.lab.scripts.record import Record
from wheathill.lab.worlds.tap import Cut
from wheathill.log_events import LogEvent

LOAD_REPORT_FIELDS = ["inflight", "waiting", "cpu", "x0"]
SAMPLE_INTERVAL_MS = 500.0


def unconstrained_limits(script):
    """Return limits that the simulated clients, servers and front never reach.

    Only proxies are held to limits here.
    """
    longest_dial_timeout_ms = max(item.dial_timeout_ms for item in script.listener)
    return ProxyLimits(
        max_sockets=200_000,
        connect_timeout_ms=10_000.0,
        max_dial_timeout_ms=longest_dial_timeout_ms,
        probe_idle_timeout_ms=60_000.0,
        listen_backlog=4096,
        accept_batch_size=64,
        keepalive_idle_ms=600_000.0,
    )


class Scene(PeerFaults):
    """The system of one script in one world, and the events that happen to it."""

    def __init__(self, script, seed, world, policy="module"):
        self.policy = policy
        self.script = script
        self.world = world
        self.clock = world.clock
        self.record = world.record = Record(self.clock)
        self.seed = seed
        self.limits = unconstrained_limits(script)
        self.sessions = {}  # session -> its proxy
        self.session_loads = {}  # session -> its load at its server; the mean is 1
        self.waiting_events = []  # their condition is not met yet
        self.requested_sessions = 0
        self.restarts = {}  # proxy -> timers of its planned restart
        self.effect_counters = {}  # id of an event -> (event, counter of its effects)
        self.record.watchers.append(self.observe_event)
        self.build()

    def random_source(self, name):
        """Return the random number generator of one part, seeded from the run and its name."""
        return random.Random(f"{self.seed}/{name}")

    def draw_factor(self, name, bounds):
        """Draw a factor between the two bounds, uniform on a logarithmic scale.

        Halving is as likely as doubling. Without bounds the factor is 1.
        """
        return (
            1.0
            if bounds is None
            else math.exp(self.random_source(name).uniform(*map(math.log, bounds)))
        )

    def build(self):
        """Create the store, registry, gateways, front, proxies and clients."""
        script, world, record = self.script, self.world, self.record
        store = script.store
        self.store = Store(
            self.clock,
            self.random_source("store"),
            record,
            at_once=store.at_once,
            call_ms=store.call_ms,
            queue=store.queue,
        )
        self.registry = Registry(self.clock, record, script.discovery.late_ms, 2000.0)
        self.gateways, self.gateway_placements, memories = {}, {}, {}
        peers = [
            (name, script.zones[index % len(script.zones)])
            for index, name in enumerate(proxy_names(script))
        ]
        for name, group, zone, cell in list_gateways(script):
            host = world.host(name, zone, self.limits, peers)
            dedup = {}
            for item in script.listener:
                if item.repeat == "referenced":
                    dedup_group = {"all": None, "zone": zone, "cell": cell}[item.scope]
                    dedup[item.name] = (
                        item.window_s * 1000,
                        memories.setdefault((item.name, dedup_group), {}),
                    )
            gateway = self.gateways[name] = Gateway(
                name,
                host,
                self.limits,
                record,
                self.random_source(name),
                self.store,
                dedup,
                cores=group.cores,
                speed=group.speed,
                queue=group.queue,
                setup_ms=group.setup_ms,
                line_ms=group.line_ms,
                probe_ms=group.probe_ms,
                holds=group.holds,
                warm_from=group.warm_from,
                warm_s=group.warm_s,
                falls_over=group.falls_over,
                fall_window_ms=group.fall_window_ms,
                falls_at=group.falls_at,
                report_ms=group.report_ms,
                fields=LOAD_REPORT_FIELDS,
                keeps_ms=10_000.0 if script.proxies.packets_pass else 0.0,
                session_loads=self.session_loads,
                tells_load=group.tells_load,
            )
            gateway.on_crash = self.schedule_death_notice
            self.gateway_placements[name] = group, zone, cell
            self.registry.set(
                name,
                site=zone,
                block=cell,
                health="ready",
                share=group.weight
                * self.draw_factor(f"weight {name}", group.weight_error),
                born_ms=0,
            )
        world.decisions = decisions(self.policy, self.gateways)
        has_upgrade = any(event.do == "proxy-upgrade" for event in script.event)
        virtual_only = [
            event.do
            for event in script.event
            if event.do in ("proxy-upgrade", "by-hand", "callers", "way")
        ]
        if virtual_only and world.name != "virtual":
            raise ConfigurationError(
                f"event: {virtual_only[0]} is only supported in the virtual world"
            )
        if script.proxies.peers:
            if world.name == "sockets":
                raise ConfigurationError(
                    "proxies.peers: is not supported in the sockets world"
                )
            if any(
                event.when and MESSAGES_SENT.fullmatch(event.when)
                for event in script.event
            ):
                world.ways.watchers.append(self.observe_message)
        for event in script.event if world.name == "processes" else ():
            if event.do not in VERIFIED_EVENTS:
                raise ConfigurationError(
                    f"event: {event.do} is not supported in the processes world, which cannot verify its effect"
                )
        for event in script.event if world.name != "processes" else ():
            if event.do in ("proxy-starve", "stranger"):
                raise ConfigurationError(
                    f"event: {event.do} is only supported in the processes world"
                )
        front = world.host("front", None, self.limits)
        shares = script.front.shares and {
            name: self.draw_factor(f"share {name}", script.front.shares)
            for name, _ in peers
        }
        self.front = Front(
            front,
            self.limits,
            record,
            script.front.notice_ms,
            script.front.ask_ms,
            shares,
            self.random_source("front"),
        )
        self.seats, self.agents = {}, {}
        self.zone_of = dict(peers)
        odd = {item.on: item for item in script.odd}
        for name, zone in peers:
            host = world.host(f"agent-{name}", zone, self.limits)
            agent = self.agents[name] = Agent(
                name, self.registry, host, self.limits, self.server_address
            )
            config_file = self.operator_file(name, zone, agent)
            values = {**platform_values(config_file), "seed": f"{self.seed}/{name}"}
            options = (
                {"held": has_upgrade}
                if has_upgrade
                else {"file": config_file}
                if world.name == "processes"
                else {}
            )
            if script.proxies.peers:
                options["odd"] = odd.get(name)
            if script.proxies.peers and world.name == "virtual":
                options["told"] = world.peers_told(
                    name, dict(peers), script.proxies, odd.get(name)
                )
            self.seats[name] = world.proxy(
                name, zone, values, record.log(name), **options
            )
            self.seats[name].calls = "callers" in virtual_only
        self.client_host = world.host("clients", None, self.limits)
        self.client_groups = []
        listeners = {item.name: item for item in script.listener}
        for settings in script.clients:
            listener = listeners[settings.listener]
            self.client_groups.append(
                (
                    settings,
                    ClientPopulation(
                        self.client_host,
                        self.limits,
                        self.random_source(settings.name),
                        record,
                        self.front,
                        listener,
                        lambda name: self.seats[name].running,
                        self.session_loads,
                        name=settings.name,
                        zone=settings.zone or script.zones[0],
                        desk=settings.desk,
                        groups=settings.groups,
                        life=settings.life_s * 1000,
                        rest=settings.rest_s * 1000,
                        think=settings.think_ms,
                        gives_up=settings.gives_up_ms
                        or listener.dial_timeout_ms + 500.0,
                        retry=settings.retry,
                        wait=settings.wait_ms,
                        honours=settings.honours,
                        tries=settings.tries,
                        silence=7000.0,
                        returns=settings.returns,
                        leaves=settings.leaves,
                        mid_flow=script.proxies.packets_pass,
                        load_sigma=settings.load_sigma,
                    ),
                )
            )

    def operator_file(self, name, zone, agent):
        """Return the configuration of a proxy in the form of an operator's file."""
        script, proxies = self.script, self.script.proxies
        group = script.gateways[0]
        instance = next((item for item in script.instance if item.on == name), None)
        return operator_tables.File(
            name=name,
            listen=self.world.proxy_address(name),
            listener=script.listener,
            discovery=agent.host.address(),
            desk=script.desk,
            zone=script.zones,
            own_zone=zone,
            groups=any(settings.groups for settings in script.clients),
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
                sockets=instance and instance.sockets or proxies.sockets,
                dials=proxies.dials,
                memory_mb=instance and instance.memory_mb or proxies.memory_mb,
                connect_ms=proxies.connect_ms,
                longest_wait_ms=proxies.longest_wait_ms,
            ),
            fleet=operator_tables.Fleet(
                proxies=proxies.meant or proxies.count,
                weights=proxies.weights,
                drain_grace_ms=script.rules.drain_grace_ms,
                cold_s=group.warm_s,
                cold_start_share=group.warm_from,
                cold_multiple=script.rules.cold_multiple,
                cold_window_ms=script.rules.cold_window_ms,
                probes=proxies.probes,
                further_dials_s=script.rules.further_dials_s,
                further_dials_free=script.rules.further_dials_free,
                further_dials_share=script.rules.further_dials_share,
                only_draining_binds=script.rules.only_draining_binds,
                report_fields=LOAD_REPORT_FIELDS if proxies.probes else [],
            ),
        )

    def server_address(self, server, proxy):
        """Return the address at which a proxy reaches a server."""
        return self.gateways[server].host.address(proxy)

    # Running

    def play(self):
        """Run the script once; the record holds what was observed."""
        script = self.script
        for name in self.seats:
            self.start_proxy(name)
        self.world.settle()
        for event in script.event:
            if event.at_s is not None:
                self.clock.at(event.at_s * 1000, self.start_event, event)
            else:
                self.waiting_events.append(event)
        for settings, group in self.client_groups:
            self.clock.at(
                self.world.opening, group.add, settings.count, settings.within_s * 1000
            )
        self.clock.after(SAMPLE_INTERVAL_MS, self.sample)
        # The objects of a run live until its end. Repeated garbage collection takes a third of the time.
        gc.disable()
        try:
            self.world.run(script.seconds)
        finally:
            gc.enable()
        for event, _ in list(self.effect_counters.values()):
            self.record_effect(event)
        for _, group in self.client_groups:
            group.stopping = True

    def sample(self):
        """Record load and session count of each gateway at a fixed interval."""
        self.clock.after(SAMPLE_INTERVAL_MS, self.sample)
        self.world.sample()
        for name, gateway in self.gateways.items():
            alive = gateway.host.alive and not gateway.host.silent
            self.record.add_sample(f"load {name}", gateway.load if alive else 0.0)
            self.record.add_sample(
                f"sessions {name}", len(gateway.connections) if alive else 0
            )

    def breaches(self):
        """Return what the judges found."""
        script = self.script
        retry_rules = {
            item.name: (item.repeat, item.scope, item.window_s * 1000)
            for item in script.listener
        }
        rules = script.rules
        retry_budget = (
            rules.further_dials_free,
            rules.further_dials_share,
            rules.further_dials_s * 1000,
        )
        retry_budget = retry_budget if rules.further_dials_s else None
        return find_breaches(
            self.record.events,
            self.clock.now(),
            slack_ms=self.world.slack(script),
            retry_rules=retry_rules,
            grace_ms=script.rules.drain_grace_ms,
            **self.cold_rule(),
            retry_budget=retry_budget,
            is_gone_binding=not rules.only_draining_binds,
            judge_factories=self.fleet_judges() if script.proxies.peers else (),
        )

    def cold_rule(self):
        """Return the arguments of the judge of cold servers."""
        rules = self.script.rules
        return {
            "multiple": rules.cold_multiple,
            "window_ms": rules.cold_window_ms,
            "proxy_count": self.script.proxies.count,
        }

    def fleet_judges(self):
        """Return the judges of proxies that know their peers."""
        script, limits = self.script, self.script.fleet
        zone_of = self.zone_of if script.proxies.zoned else None
        views = partial(
            MembershipViewJudge,
            excluded=[name for item in script.odd for name in (item.on, item.claims)],
            agreement_ms=limits.agree_ms,
            false_death_ms=limits.false_ms,
            death_known_ms=limits.known_ms,
            zone_of=zone_of,
        )
        drain_propagation = partial(
            DrainPropagationJudge,
            grace_ms=script.rules.drain_grace_ms,
            propagation_ms=limits.told_ms,
        )
        zones = (
            (
                partial(
                    ZoneStateJudge,
                    zone_of=zone_of,
                    agreement_ms=limits.agree_ms,
                    isolation_known_ms=limits.apart_ms,
                    propagation_ms=limits.told_ms,
                ),
            )
            if zone_of
            else ()
        )
        return (
            views,
            QuotaSumJudge,
            drain_propagation,
            FaultEffectJudge,
            partial(
                IsolationJudge, misconfigured=script.odd, agreement_ms=limits.agree_ms
            ),
            *zones,
        )

    # Proxies

    def start_proxy(self, name):
        """Start a proxy; the front uses it as soon as it answers."""
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
        """Kill a running proxy; the front finds out later."""
        seat = self.seats[name]
        if seat.running:
            self.record.note("host", name=name, state=state)
            seat.kill()
            self.front.died(name)

    def restart_later(self, name):
        """Schedule the next start of a proxy, if the script restarts proxies."""
        if self.script.proxies.restart_s is None:
            return
        self.clock.after(self.script.proxies.restart_s * 1000, self.restart_proxy, name)

    def restart_proxy(self, name):
        """Start a proxy that does not run."""
        if not self.seats[name].running:
            self.front.drop(name)
            self.start_proxy(name)

    def stop_and_restart(self, name):
        """Restart a proxy as planned.

        It is told to stop, gets no new clients after 300 ms, and is killed if it is still
        running after `planned_kill_delay_ms`.
        """
        seat = self.seats[name]
        if seat.running:
            self.clock.after(300.0, self.front.drop, name)
            start_count = seat.starts
            timer = self.clock.after(
                planned_kill_delay_ms(self.script.listener),
                self.finish_restart,
                name,
                start_count,
            )
            seat.stop(lambda: self.stop_completed(name, timer, start_count))

    def stop_completed(self, name, timer, start_count):
        """Finish a planned restart before its deadline."""
        if self.seats[name].starts == start_count:
            timer.cancel()
            self.finish_restart(name, start_count)

    def finish_restart(self, name, start_count):
        """End the process of a planned restart and schedule the next start."""
        seat = self.seats[name]
        if seat.starts == start_count and seat.running:
            self.kill_proxy(
                name, "killed" if self.script.proxies.packets_pass else "ended"
            )
            self.restart_later(name)

    # Events

    def observe_event(self, now, kind, fields):
        """Count sessions, and start the events whose condition is met."""
        if kind == "open":
            self.sessions[fields["sess"]] = fields["proxy"]
            self.requested_sessions += 1
        if self.waiting_events and (
            kind in ("open", "dial", "up")
            or kind == "log"
            and fields["event"] == LogEvent.MEMBER_STATE_CHANGED
        ):
            for event in list(self.waiting_events):
                match = self.match_condition(event, kind, fields)
                if match:
                    self.waiting_events.remove(event)
                    self.clock.soon(self.start_event, event, *match)

    def match_condition(self, event, kind, fields):
        """Return (gateway, proxy) of the recorded event that meets the condition, or None."""
        if match := BETWEEN_OPEN_AND_UP.fullmatch(event.when):
            if kind == "dial" and match["on"] in (None, fields["server"]):
                return fields["server"], self.sessions[fields["sess"]]
        elif match := SERVER_HOLDS.fullmatch(event.when):
            if (
                kind == "up"
                and fields["server"] == match["on"]
                and len(self.gateways[match["on"]].connections) >= int(match["count"])
            ):
                return match["on"], self.sessions[fields["sess"]]
        elif match := SESSIONS_REQUESTED.fullmatch(event.when):
            if kind == "open" and self.requested_sessions >= int(match["count"]):
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

    def start_event(self, event, gateway=None, proxy=None):
        """Start an event of the script, and schedule its end."""
        is_proxy_event = event.do.startswith("proxy-")
        on = event.on or (proxy if is_proxy_event else gateway)
        self.record.note("event", do=event.do, on=on)
        start = getattr(self, "do_" + event.do.replace("-", "_"))
        undo = start(event, on)
        if self.world.name == "processes":
            self.track_effect(event, on)
        if event.for_s and undo:
            self.clock.after(event.for_s * 1000, self.undo, event, on, undo)

    def undo(self, event, on, undo):
        """End an event of the script."""
        self.record.note("event over", do=event.do, on=on)
        if id(event) in self.effect_counters:
            self.record_effect(event)
        undo()

    def schedule_death_notice(self, name):
        """Let discovery notice a dead server after a delay, unless it is back by then."""
        life = self.gateways[name].host.life
        self.clock.after(
            self.script.discovery.finds_dead_ms, self.mark_dead, name, life
        )

    def mark_dead(self, name, life):
        """List a server as gone if it is still down."""
        host = self.gateways[name].host
        if host.life == life and (host.silent or not host.alive):
            self.registry.set(name, late=0.0, health="gone")

    def come_back(self, name):
        """Restart a gateway and list it as ready."""
        self.restart_cold(name)
        self.list_as_ready(name, born_ms=self.world.wall())

    def restart_cold(self, name):
        """Restart a gateway without warm caches, and without telling discovery."""
        gateway = self.gateways[name]
        gateway.host.come_back(True)
        gateway.begin(self.clock.now())
        group = self.gateway_placements[name][0]
        self.record.note("host", name=name, state="up")
        self.record.note(
            "cold",
            server=name,
            holds=group.holds,
            warm_from=group.warm_from,
            warm=group.warm_s * 1000,
        )

    def list_as_ready(self, name, **more):
        """List a gateway as ready."""
        self.record.note("ready", server=name)
        self.registry.set(name, health="ready", **more)

    def do_silent(self, event, on):
        """Make a gateway silent: its connections stay open but nothing passes."""
        self.record.note("host", name=on, state="silent")
        self.gateways[on].host.vanish()
        self.schedule_death_notice(on)
        return lambda: self.come_back(on)

    def do_kill(self, event, on):
        """Kill a gateway."""
        self.record.note("host", name=on, state="killed")
        self.gateways[on].host.kill()
        self.schedule_death_notice(on)
        return lambda: self.come_back(on)

    def do_back(self, event, on):
        """Restart a gateway."""
        self.come_back(on)

    def do_pause(self, event, on):
        """Pause a gateway."""
        host, life = self.gateways[on].host, self.gateways[on].host.life
        self.record.note("host", name=on, state="paused")
        host.pause()

        def resume():
            if host.life == life and host.alive:
                host.resume()
                self.record.note("host", name=on, state="up")

        return resume

    def do_erring(self, event, on):
        """Let a gateway answer with errors."""
        return self.change_field(self.gateways[on], "is_failing", True)

    def do_slow(self, event, on):
        """Slow a gateway down by `factor`."""
        return self.change_field(self.gateways[on], "slowdown", event.factor)

    def do_untrue(self, event, on):
        """Let a gateway report `factor` times its load."""
        return self.change_field(self.gateways[on], "report_factor", event.factor)

    def do_flap(self, event, on):
        """Kill and restart a gateway in periods of `within_s`, of which it is down for `share`.

        It restarts cold. Discovery learns of a death only if the gateway is down for long
        enough. The event ends with the first restart after `for_s`.
        """
        end_ms = self.clock.now() + (event.for_s or self.script.seconds) * 1000
        period_ms = event.within_s * 1000

        def down():
            if self.clock.now() >= end_ms:
                return
            self.record.note("host", name=on, state="killed")
            self.gateways[on].host.kill()
            self.schedule_death_notice(on)
            self.clock.after(period_ms * event.share, up)

        def up():
            self.restart_cold(on)
            self.clock.after(period_ms * (1 - event.share), down)

        down()

    def do_way(self, event, on):
        """Degrade the path between two names or zones.

        Each direction takes `wait_ms` longer and loses a share, which TCP sends again.
        """
        self.record.note(
            "way", one=on, other=event.with_, wait=event.wait_ms, lost=event.share
        )
        return self.world.worse(on, event.with_, event.wait_ms, event.share)

    def do_costly(self, event, on):
        """Make the work of every gateway `factor` times as expensive."""
        undo = [
            self.change_field(gateway, "session_cost", event.factor)
            for gateway in self.gateways.values()
        ]
        return lambda: [each() for each in undo]

    @staticmethod
    def change_field(target, field, value):
        """Set or scale a field, and return a function that takes back just this change.

        Events overlap, so a number is scaled back rather than restored.
        """
        before = getattr(target, field)
        setattr(target, field, value if isinstance(value, bool) else before * value)
        return lambda: setattr(
            target,
            field,
            before if isinstance(value, bool) else getattr(target, field) / value,
        )

    def do_drain(self, event, on):
        """Drain a gateway, which leaves after `leaves_s`."""
        gateway = self.gateways[on]
        self.registry.set(on, health="draining")
        gateway.drain(event.leaves_s * 1000)
        return lambda: self.come_back(on)

    def do_store_slower(self, event, on):
        """Slow the store down by `factor`."""
        return self.change_field(self.store, "slowdown", event.factor)

    def do_herd(self, event, on):
        """Drop the connections of `share` of all clients, which return within `within_s`."""
        for _, group in self.client_groups:
            group.drop_and_return(event.share, event.within_s * 1000)

    def do_proxy_kill(self, event, on):
        """Kill a proxy and restart it later."""
        self.kill_proxy(on)
        self.restart_later(on)

    def do_proxy_roll(self, event, on):
        """Restart a proxy as planned."""
        self.stop_and_restart(on)

    def do_proxy_upgrade(self, event, on):
        """Start a second process beside the running one, which is then told to stop."""
        seat, agent = self.seats[on], self.agents[on]
        seat.values = {
            **seat.values,
            "known": agent.known(),
            "seed": f"{self.seed}/{on}/{seat.starts}",
        }
        seat.upgrade(planned_kill_delay_ms(self.script.listener))

    def do_by_hand(self, event, on):
        """Put a gateway into maintenance at every proxy, restart it, and end the maintenance.

        The restart comes after `leaves_s`, the end of maintenance with that of the event.
        """
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
        """Let operators call the control address of the running process."""
        return Callers(
            self.client_host,
            self.limits,
            self.record,
            on,
            self.seats[on].admin,
            event.times,
        ).stop

    def do_proxy_pause(self, event, on):
        """Pause a proxy."""
        self.record.note("host", name=on, state="paused")
        self.seats[on].pause()

        def resume():
            self.seats[on].resume()
            self.record.note("host", name=on, state="up")

        return resume

    def do_proxy_reload(self, event, on):
        """Reload the configuration of a running proxy."""
        if self.seats[on].running:
            self.seats[on].reload()

    def agents_of(self, on):
        """Return the discovery agent of one proxy, or all agents if `on` names none."""
        return [self.agents[on]] if on in self.agents else list(self.agents.values())

    def do_list_unreachable(self, event, on):
        """Make discovery agents unreachable."""
        for agent in self.agents_of(on):
            agent.set_reachable(False)
        return lambda: [agent.set_reachable(True) for agent in self.agents_of(on)]

    def do_list_torn(self, event, on):
        """Break the connections of discovery agents."""
        for agent in self.agents_of(on):
            agent.reset_watches()

    def do_list_restarted(self, event, on):
        """Restart discovery agents, which count versions from 1 again."""
        for agent in self.agents_of(on):
            agent.restart()

    def do_list_moved(self, event, on):
        """Move discovery agents to other addresses.

        The proxies learn them from a new configuration after SIGHUP.
        """
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
        """List a gateway as ready whatever its true state is."""
        self.list_as_ready(on)
        return lambda: self.registry.set(on, late=0.0, health="gone")

    def do_partition(self, event, on):
        """Cut the network between a gateway or proxy and another one."""
        self.world.cut(on, event.with_, not event.one_way)
        self.record.note("partition", one=on, other=event.with_, one_way=event.one_way)
        return lambda: self.world.mend(on, event.with_)

    def do_cut(self, event, on):
        """Cut connections in the middle of a given message."""
        host = self.client_host if on == "clients" else self.gateways[on].host
        host.cuts.append(
            Cut(event.word, event.bytes, event.wait_ms, event.then, event.times)
        )


def count_events(record):
    """Return the counts of a run by kind of event, in the same form for every world."""
    totals = Counter()
    for _, kind, fields in record.events:
        if kind == "answer":
            totals["answer " + fields["word"]] += 1
        elif kind == "ran":
            totals["ran as a copy" if fields["copy"] else "ran"] += 1
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
            totals[{"open": "sessions", "dial": "dials"}.get(kind, kind)] += 1
    totals.update(record.counts)
    return dict(sorted(totals.items()))
