"""What a balancer is configured with, grouped by the part that each value is for.

`wheathill.config` builds these from the settings of a proxy. Numbers that no setting
changes are constants of the module that uses them, but for those below, which several
parts share.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

# The interval of the policy's own timer, in ms. Load is probed, slots are shifted and
# sessions are migrated once in it.
TICK_INTERVAL_MS = 1000.0
# How long a connection usually lasts, in ms: what a shift of slots takes to show.
CONNECTION_LIFETIME_MS = 10_000.0
# A session that is reset sooner after its set-up than this, in ms, counts as a set-up
# that failed; a trial that stands longer than a part of it ends an outlier's ejection.
EARLY_RESET_MS = 5000.0

# An own-zone server counts for so many others at the most.
MAX_OWN_ZONE_WEIGHT = 8.0

# The load at which messages begin to miss their latency objective, as a part of full
# capacity; and how much of it is given up where each lost session counts fully.
BASE_OVERLOAD_THRESHOLD = 0.8
LOSS_MARGIN = 0.3


@dataclass(frozen=True)
class SlotTableSettings:
    """How sessions are mapped to servers.

    Attributes:
        slot_count: the size of the table, a power of two; the same at all proxies.
        zone: the index of this proxy's zone.
        cross_zone_cost: what a session at another zone's server costs.
        migration_cost: what the migration of a session costs.
    """

    slot_count: int = 4096
    zone: int = 0
    cross_zone_cost: float = 0.0
    migration_cost: float = 0.0

    @property
    def own_zone_weight(self) -> float:
        """How much more an own-zone server weighs than one of another zone.

        Tables that differ by zone cost resets where a connection's packets come to
        another zone, so it must pay well against migrating clients.
        """
        if not self.migration_cost:
            return 1.0
        ratio = self.cross_zone_cost / (2 * self.migration_cost)
        return min(MAX_OWN_ZONE_WEIGHT, max(1.0, ratio))


@dataclass(frozen=True)
class LoadEstimatorSettings:
    """What is known of the servers' load.

    Attributes:
        report_fields: the names of a load report's values, in its order; empty where
            servers report nothing.
        reports_late_messages: whether messages that miss their latency objective are
            noticed, so that their absence speaks against a report of overload.
        loss_weight: the part of the objective that lost sessions have, from 0 to 1.
    """

    report_fields: Sequence[str] = ()
    reports_late_messages: bool = False
    loss_weight: float = 0.0

    @property
    def overload_threshold(self) -> float:
        """The load, over capacity, from which a server takes no new sessions."""
        return BASE_OVERLOAD_THRESHOLD - LOSS_MARGIN * self.loss_weight


@dataclass(frozen=True)
class EndpointListSettings:
    """How the list of servers is followed.

    Attributes:
        is_polled: the list is polled at a service that all proxies share, and not
            pushed to this one.
        poll_interval_ms: how often it has to be polled, at the least.
        drain_grace_ms: for how long a draining server carries on what it holds.
        uses_weights: whether listed weights are registered sizes.
        absence_removes: whether a server that is not listed any more is removed for
            that alone. Otherwise it also has to fail to answer.
    """

    is_polled: bool = False
    poll_interval_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    uses_weights: bool = False
    absence_removes: bool = True


@dataclass(frozen=True)
class SlowStartSettings:
    """What a server that has just started can take.

    Attributes:
        initial_share: its capacity at its start, as a part of the full one.
        duration_ms: how long it takes to warm up.
        rate_multiple: how many times the rate of filling up within the warm-up counts
            as too much.
        window_ms: the window in which attempts are counted.
    """

    initial_share: float = 0.1
    duration_ms: float = 20_000.0
    rate_multiple: float = 1.0
    window_ms: float = 1000.0


@dataclass(frozen=True)
class RetryBudgetSettings:
    """How many retries this proxy may make in any window.

    Attributes:
        free_retries: retries that no session has to pay for.
        retries_per_session: what each session that was taken adds.
        window_ms: the window; 0 means that retries are not limited.
    """

    free_retries: float = 0.0
    retries_per_session: float = 0.0
    window_ms: float = 0.0


@dataclass(frozen=True)
class PolicySettings:
    """All that a balancer is configured with.

    Attributes:
        proxy_count: how many proxies there are, this one included.
        proxy_index: this one's number among them; None where it is not known.
        may_probe: whether servers may be probed for their load.
        is_passthrough: packets pass through, so that connections outlive this proxy.
        max_attempts: the number of attempts of a session, the first one included.
        max_retry_after_ms: the longest time after which a rejected client is asked to
            retry.
    """

    proxy_count: int = 1
    proxy_index: int | None = None
    may_probe: bool = False
    is_passthrough: bool = False
    max_attempts: int = 1
    max_retry_after_ms: float = 0.0
    slot_table: SlotTableSettings = field(default_factory=SlotTableSettings)
    load_estimator: LoadEstimatorSettings = field(default_factory=LoadEstimatorSettings)
    endpoint_list: EndpointListSettings = field(default_factory=EndpointListSettings)
    slow_start: SlowStartSettings = field(default_factory=SlowStartSettings)
    retry_budget: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
