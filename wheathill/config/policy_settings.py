"""Reading of the balancer's settings."""

from dataclasses import dataclass, replace

from wheathill.config.errors import ConfigurationError
from wheathill.config.settings_reader import SettingsReader
from wheathill.policy.settings import (
    EndpointListSettings,
    LoadEstimatorSettings,
    PolicySettings,
    RetryBudgetSettings,
    SlotTableSettings,
    SlowStartSettings,
)

# Maps names of load report fields in the settings to their names in the policy. Others
# are the same in both.
REPORT_FIELD_NAMES = {"waiting": "queue", "cpu": "util"}
MIN_SLOTS, MAX_SLOTS = 512, 65_536
# Bounds of the retry budget's window, in seconds.
MIN_RETRY_WINDOW_S, MAX_RETRY_WINDOW_S = 1e-3, 86_400.0


@dataclass(frozen=True)
class _PolicySections:
    """The sections of the settings that contain settings of the policy."""

    limits: SettingsReader
    obligations: SettingsReader
    prices: SettingsReader
    report: SettingsReader
    goal: SettingsReader

    @classmethod
    def read(cls, settings: SettingsReader) -> "_PolicySections":
        """Return all sections; an error reports the first one that is not an object."""
        sections = cls(
            limits=settings.child("limits"),
            obligations=settings.child("obligations"),
            prices=settings.child("prices"),
            report=settings.child("report"),
            goal=settings.child("goal"),
        )
        # Only validated, as no decision depends on the value.
        sections.goal.number("ninesFull", 3.0, 1e-3, 1e3)
        return sections


def read_policy(settings: SettingsReader) -> PolicySettings:
    """Return the configuration of a balancer.

    Raises:
        ConfigurationError: a value is invalid. If several are, only the first one read
            is reported, so the order of reading is part of the interface.
    """
    sections = _PolicySections.read(settings)
    limits, obligations = sections.limits, sections.obligations
    may_probe = limits.flag("mayProbe")
    reports_load = read_reports_load(sections.report, may_probe)
    zone = settings.count("zone", 0)
    proxy_count = max(1, settings.count("balancers", 1))
    proxy_index = settings.count("me", 0) if "me" in settings.values else None
    report_fields = read_report_fields(sections.report, reports_load)
    endpoint_list = read_endpoint_list(settings, obligations)
    slow_start = read_slow_start(obligations)
    max_attempts = limits.count("maxDials", 1)
    cross_zone_cost = sections.prices.number("crossZone", 0.0)
    migration_cost = sections.prices.number("moves", 0.0)
    retry_budget = read_retry_budget(obligations)
    # The order of the arguments is the order of reading.
    return PolicySettings(
        endpoint_list=replace(
            endpoint_list,
            removes_unlisted_servers=not obligations.flag("onlyDrainingBinds"),
        ),
        max_retry_after_ms=read_max_retry_after(limits),
        load_estimator=read_load_estimator(settings, sections.goal, report_fields),
        slot_table=SlotTableSettings(
            read_slot_count(settings), zone, cross_zone_cost, migration_cost
        ),
        is_passthrough=settings.child("familyInfo").text("mode", "proxy") == "pass",
        proxy_count=proxy_count,
        proxy_index=proxy_index,
        may_probe=may_probe,
        max_attempts=max_attempts,
        slow_start=slow_start,
        retry_budget=retry_budget,
    )


def read_reports_load(report: SettingsReader, may_probe: bool) -> bool:
    """Return whether servers report their load, inline with answers or to probes."""
    report_modes = {"inline": True, "on_probe": may_probe}
    return report_modes.get(report.text("how", "off"), False)


def read_load_estimator(
    settings: SettingsReader, goal: SettingsReader, report_fields: list[str]
) -> LoadEstimatorSettings:
    """Return the settings of the load estimator."""
    return LoadEstimatorSettings(
        report_fields=report_fields,
        reports_late_messages=settings.child("familyInfo").flag("tellsDelay"),
        loss_weight=goal.number("logLossPart", 0.0, 0.0, 1.0),
    )


def read_max_retry_after(limits: SettingsReader) -> float:
    """Return the maximum retry-after delay for rejected clients in ms; 0 for none."""
    if not limits.flag("retryAfter"):
        return 0.0
    return limits.milliseconds("maxRetryAfterS", 0.0)


def read_retry_budget(obligations: SettingsReader) -> RetryBudgetSettings:
    """Return the retry budget, which is unlimited if none is configured."""
    configured_keys = [
        key
        for key in ("freeResends", "resendRatio", "ratioSpanS")
        if obligations.values.get(key) is not None
    ]
    if not configured_keys:
        return RetryBudgetSettings()
    if "ratioSpanS" not in configured_keys:
        raise ConfigurationError(
            f"{obligations.path_of('ratioSpanS')}: is required"
            f" with {obligations.path_of(configured_keys[0])}"
        )
    window_s = obligations.number(
        "ratioSpanS", None, MIN_RETRY_WINDOW_S, MAX_RETRY_WINDOW_S
    )
    return RetryBudgetSettings(
        free_retries=obligations.number("freeResends", 0.0),
        retries_per_session=obligations.number("resendRatio", 0.0),
        window_ms=window_s * 1000,
    )


def read_slot_count(settings: SettingsReader) -> int:
    """Return the number of slots, which must be a power of two."""
    slots = settings.count("slots", 4096)
    if not MIN_SLOTS <= slots <= MAX_SLOTS or slots & (slots - 1):
        raise ConfigurationError(
            f"{settings.path_of('slots')}: must be a power of two"
            f" from {MIN_SLOTS:,} to {MAX_SLOTS:,}"
        )
    return slots


def read_slow_start(obligations: SettingsReader) -> SlowStartSettings:
    """Return the settings of slow start."""
    return SlowStartSettings(
        initial_share=obligations.number("startCapacity", 0.1),
        duration_ms=obligations.milliseconds("coldS", 20_000.0),
        rate_multiple=obligations.number("tipMultiple", 1.0),
        window_ms=obligations.milliseconds("tipAfterS", 1000.0),
    )


def read_endpoint_list(
    settings: SettingsReader, obligations: SettingsReader
) -> EndpointListSettings:
    """Return the settings of the endpoint list, except for `removes_unlisted_servers`.

    The caller reads that one, later in the order of reading.
    """
    return EndpointListSettings(
        is_polled=settings.text("membershipMode", "automatic") == "subscribe",
        poll_interval_ms=obligations.milliseconds("askEveryS", 10_000.0),
        uses_weights=settings.text("weightSource", "off") in ("nominal", "rough"),
        drain_grace_ms=obligations.milliseconds("drainGraceS", 0.0),
    )


def read_report_fields(report: SettingsReader, reports_load: bool) -> list[str]:
    """Return the names of the load report's fields; none if servers send no reports."""
    if not reports_load:
        return []
    return [REPORT_FIELD_NAMES.get(name, name) for name in report.texts("names")]
