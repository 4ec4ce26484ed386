"""Session migration: clients are asked to reconnect, so that another server takes them.

That is done where their server leaves, is overloaded or is unresponsive, and where this
proxy stops.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from itertools import chain

from wheathill.model import Phase, Server, Session, SessionEffects
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.outlier_detection import MAX_UNANSWERED_PROBES, OutlierDetector
from wheathill.policy.settings import TICK_INTERVAL_MS
from wheathill.policy.slot_table import SlotTable

# Sessions migrate off a server from this load on while others have room, and from full
# capacity in any case.
MIGRATION_LOAD = 0.9
FULL_LOAD = 1.0
# With room elsewhere, a server is relieved down to this part of the load from which it
# takes no new sessions.
RELIEF_TARGET = 0.75
# Reports lag behind the migrations: a server is left alone for so long after some, in
# ms.
MIGRATION_PAUSE_MS = 2 * TICK_INTERVAL_MS

# A draining server's sessions migrate in so many ticks: servers were seen to end 3.2 s
# after this proxy was notified.
DRAIN_TICKS = 3
# A proxy that stops asks this part of its clients at a time, until the last moment.
STOP_PARTS = 4

# A session whose message has no answer for so long, in ms, migrates.
UNANSWERED_MS = 1500.0
# Nothing at all for so long from a server with two unanswered messages, in ms, means
# that it is unresponsive.
UNRESPONSIVE_MS = 500.0


class SessionMigrator:
    """Decides which sessions migrate, and when."""

    def __init__(
        self,
        effects: SessionEffects,
        uniform: Callable[[float, float], float],
        slot_table: SlotTable,
        load_estimator: LoadEstimator,
        outlier_detector: OutlierDetector,
        *,
        may_probe: bool,
    ) -> None:
        """Take the parts whose state says who migrates."""
        self._effects = effects
        self._uniform = uniform
        self._slot_table = slot_table
        self._load_estimator = load_estimator
        self._outlier_detector = outlier_detector
        self._may_probe = may_probe

    def migrate(self, sessions: Sequence[Session], parts: int) -> None:
        """Ask the clients of one part of these sessions to reconnect.

        They are asked before their server leaves, or this proxy. A part at a time: all
        of them are set up anew, and at once they would overload what set-ups depend on.
        """
        for session in sessions[: math.ceil(len(sessions) / parts)]:
            self._effects.migrate(session)

    def migrate_all(self, *, is_last: bool) -> None:
        """Migrate a part of all sessions, as this proxy stops; all the last time."""
        sessions = [session for held in self._slot_table.sessions for session in held]
        self.migrate(sessions, 1 if is_last else STOP_PARTS)

    def migrate_off_draining(self, now_ms: float, servers: Iterable[Server]) -> None:
        """Migrate a part of the sessions of those servers that are draining."""
        for server in [server for server in servers if server.phase is Phase.DRAINING]:
            ticks = int((now_ms - server.leaving_since_ms) / TICK_INTERVAL_MS)
            self.migrate(list(server.sessions), max(1, DRAIN_TICKS - ticks))

    def on_message_unanswered(
        self, now_ms: float, session: Session, waited_ms: float
    ) -> None:
        """Migrate a session whose message got no answer for long.

        Its server or the path there is gone without notice. Where two sessions wait,
        and nothing at all came from there meanwhile, the others need not find out one
        by one.
        """
        server = session.server
        assert server is not None, "a session that waits for an answer has a server"
        is_second = server.unanswered_session not in (None, session)
        if waited_ms >= UNANSWERED_MS:
            self._effects.migrate(session)
        elif is_second and now_ms - server.last_received_ms >= UNRESPONSIVE_MS:
            server.unanswered_probes = MAX_UNANSWERED_PROBES if self._may_probe else 0
            self._effects.log(
                f"migration: {len(server.sessions)} sessions off an unresponsive server"
            )
            self.migrate(list(server.sessions), 1)
        server.unanswered_session = session

    def shed_overloaded_servers(self, now_ms: float, servers: Iterable[Server]) -> None:
        """Migrate sessions off overloaded servers.

        Exception: shifted slots only help sessions to come, and connections outlive the
        overload. Sessions migrate from the load on at which messages miss their
        objective while other servers have room, and from full capacity in any case:
        past it nobody there is served, and those who must wait outside cost less.
        """
        loads = {
            server: load
            for server, load in self._load_estimator.loads(now_ms, servers).items()
            if self._load_estimator.reports_utilisation
            and not self._outlier_detector.is_unresponsive(server)
        }
        threshold = self._load_estimator.overload_threshold
        has_room = sum(threshold - load for load in loads.values()) > 0
        late = [
            server
            for server in servers
            if self._load_estimator.has_late_messages(now_ms, server)
        ]
        min_load = MIGRATION_LOAD if has_room else FULL_LOAD
        for server in dict.fromkeys(chain(loads, late)):
            load = loads.get(server, FULL_LOAD)
            if load >= min_load and now_ms >= server.next_migration_ms:
                self._shed(now_ms, server, load, has_room)

    def _shed(self, now_ms: float, server: Server, load: float, has_room: bool) -> None:
        """Migrate the excess of one server.

        Half of the excess at a time, since reports lag behind the migrations, but all
        of it past full capacity.
        """
        threshold = self._load_estimator.overload_threshold
        excess = 1 - (RELIEF_TARGET if has_room else 1.0) * threshold / load
        share = excess if load >= FULL_LOAD else excess / 2
        # By chance in proportion: rounded up by hundreds of proxies that hold one
        # session each, all sessions would go.
        count = int(len(server.sessions) * share + self._uniform(0.0, 1.0))
        for session in self._in_order_of_migration(server)[:count]:
            self._effects.migrate(session)
        if count:
            server.next_migration_ms = now_ms + MIGRATION_PAUSE_MS
            self._effects.log(
                f"migration: {count} sessions off a server at {load:.1f}"
                " of its capacity"
            )

    def _in_order_of_migration(self, server: Server) -> list[Session]:
        """Return a server's sessions by slot, so that a group is not spread."""
        table = self._slot_table
        return sorted(
            server.sessions,
            key=lambda session: (
                table.preferred_servers[session.slot] is server,
                -table.claim_scores[session.slot],
            ),
        )
