"""Session migration: asks clients to reconnect, so that another server takes them.

Sessions migrate when their server is draining, overloaded or unresponsive, and when
this proxy shuts down.
"""

import math
from collections.abc import Callable, Iterable
from itertools import chain

from wheathill.model import Phase, Server, Session, SessionEffects
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.outlier_detection import MAX_UNANSWERED_PROBES, OutlierDetector
from wheathill.policy.settings import TICK_INTERVAL_MS
from wheathill.policy.slot_table import SlotTable

# The load from which sessions migrate off a server if other servers have room, and the
# load from which they migrate in any case.
MIGRATION_LOAD = 0.9
FULL_LOAD = 1.0
# If other servers have room, the target load of a migration, as a fraction of the
# overload threshold.
RELIEF_TARGET = 0.75
# Minimum time between two migrations off an overloaded server, in ms, as load reports
# lag behind.
MIGRATION_PAUSE_MS = 2 * TICK_INTERVAL_MS

# Number of ticks within which the sessions of a draining server migrate. Servers were
# seen to terminate 3.2 s after this proxy was notified.
DRAIN_TICKS = 3
# Each call of `migrate_all` but the last migrates one of this many batches.
SHUTDOWN_BATCHES = 4

# A session whose message has been unanswered for this time, in ms, migrates.
MESSAGE_TIMEOUT_MS = 1500.0
# A server with unanswered messages of two sessions, from which no data was received for
# this time, in ms, is unresponsive.
SILENCE_TIMEOUT_MS = 500.0


class SessionMigrator:
    """Selects the sessions that migrate, and decides when they do."""

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
        """Use the state of the given components to select sessions."""
        self._effects = effects
        self._uniform = uniform
        self._slot_table = slot_table
        self._load_estimator = load_estimator
        self._outlier_detector = outlier_detector
        self._may_probe = may_probe

    def migrate(self, sessions: Iterable[Session], batches: int) -> None:
        """Migrate one batch of the given sessions, the first of `batches`.

        Every migrated session is set up again. Migrating all of them at the same time
        would overload the dependencies that set-ups share. A single batch is all of
        them, whether they were requested to migrate before or not.
        """
        remaining = list(sessions) if batches == 1 else _not_requested(sessions)
        for session in remaining[: math.ceil(len(remaining) / batches)]:
            self._request(session)

    def migrate_all(self, *, is_last: bool) -> None:
        """Migrate a batch of all sessions, or all of them in the last call."""
        sessions = chain.from_iterable(self._slot_table.sessions)
        self.migrate(sessions, 1 if is_last else SHUTDOWN_BATCHES)

    def _request(self, session: Session) -> None:
        session.migration_requested = True
        self._effects.migrate(session)

    def migrate_off_draining(self, now_ms: float, servers: Iterable[Server]) -> None:
        """Migrate a batch of the sessions of each draining server."""
        for server in [server for server in servers if server.phase is Phase.DRAINING]:
            ticks = int((now_ms - server.leaving_since_ms) / TICK_INTERVAL_MS)
            self.migrate(server.sessions, max(1, DRAIN_TICKS - ticks))

    def on_message_unanswered(
        self, now_ms: float, session: Session, waited_ms: float
    ) -> None:
        """Migrate a session whose message has been unanswered for too long.

        The server or the network path to it has failed without notice. If two sessions
        wait and no data was received from the server meanwhile, all of its sessions
        migrate without waiting for their own timeouts.
        """
        server = session.server
        assert server is not None, "a session that waits for an answer has a server"
        is_second = server.unanswered_session not in (None, session)
        if waited_ms >= MESSAGE_TIMEOUT_MS:
            self._request(session)
        elif is_second and now_ms - server.last_received_ms >= SILENCE_TIMEOUT_MS:
            server.unanswered_probes = MAX_UNANSWERED_PROBES if self._may_probe else 0
            self._effects.log(
                f"migration: {len(server.sessions)} sessions off an unresponsive server"
            )
            self.migrate(server.sessions, 1)
        server.unanswered_session = session

    def shed_overloaded_servers(self, now_ms: float, servers: Iterable[Server]) -> None:
        """Migrate sessions off overloaded servers.

        Shifting slots affects new sessions only, and open connections outlive the
        overload. If other servers have room, sessions migrate from the load at which
        messages miss their latency objective. From full capacity on they migrate in any
        case: beyond it no session there is served well, and sessions that have to
        wait for a server cost less.
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
        """Migrate excess sessions off one server.

        Half of the excess migrates at a time, since reports lag behind migrations, but
        all of it from full capacity on.
        """
        threshold = self._load_estimator.overload_threshold
        excess = 1 - (RELIEF_TARGET if has_room else 1.0) * threshold / load
        share = excess if load >= FULL_LOAD else excess / 2
        # Rounded at random in proportion to the fraction: if hundreds of proxies with
        # one session each rounded up, all sessions would migrate.
        count = int(len(server.sessions) * share + self._uniform(0.0, 1.0))
        for session in self._in_order_of_migration(server)[:count]:
            self._request(session)
        if count:
            server.next_migration_ms = now_ms + MIGRATION_PAUSE_MS
            self._effects.log(
                f"migration: {count} sessions off a server at {load:.1f}"
                " of its capacity"
            )

    def _in_order_of_migration(self, server: Server) -> list[Session]:
        """Return the sessions that may migrate off a server.

        They are ordered by slot, which keeps groups together.
        """
        table = self._slot_table
        return sorted(
            _not_requested(server.sessions),
            key=lambda session: (
                table.preferred_servers[session.slot] is server,
                -table.claim_scores[session.slot],
            ),
        )


def _not_requested(sessions: Iterable[Session]) -> list[Session]:
    """Return the sessions whose migration was not requested yet.

    Those whose server has stopped within a line stay for long, and must not take the
    place of others in each batch.
    """
    return [session for session in sessions if not session.migration_requested]
