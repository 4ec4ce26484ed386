"""Configuration of a balancer, grouped by the component that uses it.

`wheathill.config` builds these objects from the settings of a proxy. Values that are
not configurable are constants of the module that uses them; the constants below are
shared by several modules.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

# Interval between two ticks, in ms. Each tick schedules probes, shifts slots and
# migrates sessions.
TICK_INTERVAL_MS = 1000.0
# Typical lifetime of a connection, in ms, and so the time until a shift of slots has
# taken effect.
CONNECTION_LIFETIME_MS = 10_000.0
# A session that is reset within this time after its set-up, in ms, counts as a failed
# set-up. A trial session that stays open for a fraction of it ends an outlier's
# ejection.
EARLY_RESET_MS = 5000.0

# Maximum weight of a server in the proxy's own zone, relative to other zones.
MAX_OWN_ZONE_WEIGHT = 8.0

# The load at which messages begin to miss their latency objective, as a fraction of
# full capacity, and the reduction of it where lost sessions have full weight.
BASE_OVERLOAD_THRESHOLD = 0.8
LOSS_MARGIN = 0.3


@dataclass(frozen=True)
class SlotTableSettings:
    """Settings of the slot table, which maps sessions to servers.

    Attributes:
        slot_count: the number of slots, a power of two; the same at all proxies.
        zone: the index of this proxy's zone.
        cross_zone_cost: the cost of a session at a server of another zone.
        migration_cost: the cost of migrating a session.
    """

    slot_count: int = 4096
    zone: int = 0
    cross_zone_cost: float = 0.0
    migration_cost: float = 0.0

    @property
    def own_zone_weight(self) -> float:
        """The weight of a server in this proxy's zone, relative to another zone.

        Slot tables that differ by zone cause resets where a connection's packets arrive
        in another zone, so the preference depends on the cost of a migration.
        """
        if not self.migration_cost:
            return 1.0
        ratio = self.cross_zone_cost / (2 * self.migration_cost)
        return min(MAX_OWN_ZONE_WEIGHT, max(1.0, ratio))


@dataclass(frozen=True)
class LoadEstimatorSettings:
    """Settings of the load estimator.

    Attributes:
        report_fields: the names of the values in a load report, in order; empty where
            servers send no reports.
        reports_late_messages: whether messages that miss their latency objective are
            observed, so that their absence contradicts a report of overload.
        loss_weight: the weight of lost sessions in the objective, from 0 to 1.
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
    """Settings of the endpoint list.

    Attributes:
        is_polled: whether the list is polled from a service that all proxies share,
            instead of being pushed to this proxy.
        poll_interval_ms: the maximum time between two polls.
        drain_grace_ms: how long a draining server continues its open sessions.
        uses_weights: whether the listed weights are registered sizes.
        removes_unlisted_servers: whether a server that is no longer listed is removed
            at once. Otherwise it is removed once it also fails to answer.
    """

    is_polled: bool = False
    poll_interval_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    uses_weights: bool = False
    removes_unlisted_servers: bool = True


@dataclass(frozen=True)
class SlowStartSettings:
    """Settings of slow start, which limits attempts to warming servers.

    Attributes:
        initial_share: a server's capacity at its start, as a fraction of full capacity.
        duration_ms: how long a server takes to warm up.
        rate_multiple: the maximum rate of attempts, as a multiple of the rate that
            fills a server within its warm-up.
        window_ms: the length of the window in which attempts are counted.
    """

    initial_share: float = 0.1
    duration_ms: float = 20_000.0
    rate_multiple: float = 1.0
    window_ms: float = 1000.0


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Settings of the retry budget.

    Attributes:
        free_retries: retries per window that are allowed without any session.
        retries_per_session: the retries that each new session adds.
        window_ms: the length of the window; 0 means that retries are not limited.
    """

    free_retries: float = 0.0
    retries_per_session: float = 0.0
    window_ms: float = 0.0


@dataclass(frozen=True)
class PolicySettings:
    """The whole configuration of a balancer.

    Attributes:
        proxy_count: the number of proxies, including this one.
        proxy_index: the index of this proxy among them, or None if unknown.
        may_probe: whether probes may be sent to servers.
        is_passthrough: whether packets are passed through, so that connections outlive
            this proxy.
        max_attempts: the maximum number of attempts for a session, including the first.
        max_retry_after_ms: the maximum delay after which a rejected client is asked to
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
