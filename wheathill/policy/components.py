"""Creates the components of a balancer from its settings, and connects them."""

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
    """The components of a `Balancer`.

    Attributes:
        effects: carries out the decisions.
        uniform: draws a random number between two bounds.
        slot_table: maps the keys of sessions to servers.
        load_estimator: estimates the load and the capacity of servers.
        endpoint_list: the known servers and their phases.
        outlier_detector: detects failing and unresponsive servers.
        path_latency: detects servers on a slow network path.
        slow_start: limits attempts to warming servers.
        retry_budget: limits retries.
        probe_scheduler: decides when servers are probed.
        admission: the first stage of a session's pipeline.
        server_selector: the second stage.
        attempt_runner: the last stage.
        session_migrator: selects the sessions that migrate.
    """

    def __init__(
        self, effects: SessionEffects, rng: random.Random, settings: PolicySettings
    ) -> None:
        """Create the components; see `Balancer` for the arguments."""
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
        """Create the components that hold state.

        Their order determines which random numbers they draw.
        """
        proxy_count = settings.proxy_count
        self.slot_table = SlotTable(rng.choice, settings.slot_table)
        self.load_estimator = LoadEstimator(settings.load_estimator, proxy_count)
        self.endpoint_list = EndpointList(
            self.effects, self.uniform, settings.endpoint_list, proxy_count
        )
        self.outlier_detector = OutlierDetector()
        self.path_latency = PathLatency()
        # A proxy without a configured index uses a random one.
        proxy_index = settings.proxy_index
        self.slow_start = SlowStartLimiter(
            settings.slow_start,
            self.load_estimator,
            rng.uniform(0.0, proxy_count) if proxy_index is None else proxy_index,
            proxy_count,
        )
        self.retry_budget = RetryBudget(settings.retry_budget)

    def _make_stages(self, settings: PolicySettings) -> None:
        """Create the stages of the session pipeline, and connect them."""
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
