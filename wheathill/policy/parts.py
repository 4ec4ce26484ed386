"""The parts of the decisions, made from the settings and joined."""

import random

from wheathill.model import SessionEffects
from wheathill.policy.admission import AdmissionControl
from wheathill.policy.attempts import AttemptRunner
from wheathill.policy.endpoint_list import EndpointList
from wheathill.policy.load_estimator import LoadEstimator
from wheathill.policy.migration import SessionMigrator
from wheathill.policy.outlier_detection import OutlierDetector
from wheathill.policy.path_latency import PathLatency
from wheathill.policy.probing import ProbeScheduler
from wheathill.policy.retry_budget import RetryBudget
from wheathill.policy.server_selection import ServerSelector
from wheathill.policy.settings import PolicySettings
from wheathill.policy.slot_table import SlotTable
from wheathill.policy.slow_start import SlowStartLimiter
from wheathill.policy.stage import connect_stages


class PolicyComponents:
    """What a `Balancer` consists of.

    Attributes:
        effects: carries out what is decided.
        uniform: draws a number between two bounds.
        slot_table: which server the key of a session is mapped to.
        load_estimator: what is known of the servers' load.
        endpoint_list: which servers there are.
        outlier_detector: which of them fail.
        path_latency: which of them are on a slow network path.
        slow_start: what warming servers can take.
        retry_budget: how many retries are allowed.
        probe_scheduler: when servers are probed.
        admission: the first of the stages that a session passes.
        server_selector: the second one.
        attempt_runner: the last one.
        session_migrator: which sessions migrate.
    """

    def __init__(
        self, effects: SessionEffects, rng: random.Random, settings: PolicySettings
    ) -> None:
        """Make the parts; `Balancer` describes the arguments."""
        self.effects, self.uniform = effects, rng.uniform
        self._make_estimators(rng, settings)
        self._make_stages(settings)
        self.session_migrator = SessionMigrator(
            effects,
            rng.uniform,
            self.slot_table,
            self.load_estimator,
            self.outlier_detector,
            may_probe=settings.may_probe,
        )

    def _make_estimators(self, rng: random.Random, settings: PolicySettings) -> None:
        """Make the parts that hold what is known, in the order in which they draw."""
        proxy_count = settings.proxy_count
        self.slot_table = SlotTable(rng.choice, settings.slot_table)
        self.load_estimator = LoadEstimator(settings.load_estimator, proxy_count)
        self.endpoint_list = EndpointList(
            self.effects, self.uniform, settings.endpoint_list, proxy_count
        )
        self.outlier_detector = OutlierDetector()
        self.path_latency = PathLatency()
        # Without a number of its own, a proxy takes one at random.
        proxy_index = settings.proxy_index
        self.slow_start = SlowStartLimiter(
            settings.slow_start,
            self.load_estimator,
            rng.uniform(0.0, proxy_count) if proxy_index is None else proxy_index,
            proxy_count,
        )
        self.retry_budget = RetryBudget(settings.retry_budget)

    def _make_stages(self, settings: PolicySettings) -> None:
        """Make the stages that a session passes, and join them."""
        self.probe_scheduler = ProbeScheduler(
            self.effects,
            is_enabled=settings.may_probe,
            priority_load=self.load_estimator.overload_threshold / 2,
        )
        self.admission = AdmissionControl(
            self.effects,
            self.uniform,
            self.outlier_detector,
            settings.max_retry_after_ms,
        )
        self.server_selector = ServerSelector(
            self.effects,
            slot_table=self.slot_table,
            load_estimator=self.load_estimator,
            endpoint_list=self.endpoint_list,
            outlier_detector=self.outlier_detector,
            path_latency=self.path_latency,
            slow_start=self.slow_start,
            retry_budget=self.retry_budget,
            probe_scheduler=self.probe_scheduler,
            max_attempts=settings.max_attempts,
        )
        self.attempt_runner = AttemptRunner(
            self.effects,
            slot_table=self.slot_table,
            load_estimator=self.load_estimator,
            outlier_detector=self.outlier_detector,
            slow_start=self.slow_start,
            retry_budget=self.retry_budget,
        )
        connect_stages(self.admission, self.server_selector, self.attempt_runner)
