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

# Values of a load report: the settings' names -> the policy's.
REPORT_FIELD_NAMES = {"waiting": "queue", "cpu": "util"}
MIN_SLOTS, MAX_SLOTS = 512, 65_536
# The window of the retry budget, in seconds.
MIN_RETRY_WINDOW_S, MAX_RETRY_WINDOW_S = 1e-3, 86_400.0


@dataclass(frozen=True)
class _PolicySections:
    """The parts of the settings that the policy is read from."""

    limits: SettingsReader
    duties: SettingsReader
    prices: SettingsReader
    report: SettingsReader
    goal: SettingsReader

    @classmethod
    def read(cls, settings: SettingsReader) -> "_PolicySections":
        """Return all parts; the first one that is no object is named."""
        sections = cls(
            limits=settings.child("limits"),
            duties=settings.child("obligations"),
            prices=settings.child("prices"),
            report=settings.child("report"),
            goal=settings.child("goal"),
        )
        # Read to be checked: nothing decided hangs on how many.
        sections.goal.number("ninesFull", 3.0, 1e-3, 1e3)
        return sections


def read_policy(settings: SettingsReader) -> PolicySettings:
    """Return what a balancer is made with, beside its effects and its source of chance.

    Raises:
        ConfigurationError: A value can't be used. Of several the first one that is
            read is named, so that the order of reading is part of the interface.
    """
    sections = _PolicySections.read(settings)
    limits, duties = sections.limits, sections.duties
    may_probe = limits.flag("mayProbe")
    is_reported = read_is_reported(sections.report, may_probe)
    zone = settings.count("zone", 0)
    proxy_count = max(1, settings.count("balancers", 1))
    proxy_index = settings.count("me", 0) if "me" in settings.values else None
    report_fields = read_report_fields(sections.report, is_reported)
    endpoint_list = read_endpoint_list(settings, duties)
    slow_start = read_slow_start(duties)
    max_attempts = limits.count("maxDials", 1)
    cross_zone_cost = sections.prices.number("crossZone", 0.0)
    migration_cost = sections.prices.number("moves", 0.0)
    retry_budget = read_retry_budget(duties)
    # Arguments are read in the order in which they stand here.
    return PolicySettings(
        endpoint_list=replace(
            endpoint_list, removes_unlisted_servers=not duties.flag("onlyDrainingBinds")
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


def read_is_reported(report: SettingsReader, may_probe: bool) -> bool:
    """Return whether servers report their load, with their answers or to probes."""
    report_modes = {"inline": True, "on_probe": may_probe}
    return report_modes.get(report.text("how", "off"), False)


def read_load_estimator(
    settings: SettingsReader, goal: SettingsReader, report_fields: list[str]
) -> LoadEstimatorSettings:
    """Return what is known of the servers' load."""
    return LoadEstimatorSettings(
        report_fields=report_fields,
        reports_late_messages=settings.child("familyInfo").flag("tellsDelay"),
        loss_weight=goal.number("logLossPart", 0.0, 0.0, 1.0),
    )


def read_max_retry_after(limits: SettingsReader) -> float:
    """Return the longest wait in ms named to a rejected client; 0 for none."""
    if not limits.flag("retryAfter"):
        return 0.0
    return limits.milliseconds("maxRetryAfterS", 0.0)


def read_retry_budget(duties: SettingsReader) -> RetryBudgetSettings:
    """Return the retry budget; one that limits nothing where none is stated."""
    stated = [
        key
        for key in ("freeResends", "resendRatio", "ratioSpanS")
        if duties.values.get(key) is not None
    ]
    if not stated:
        return RetryBudgetSettings()
    if "ratioSpanS" not in stated:
        raise ConfigurationError(
            f"{duties.path_of('ratioSpanS')}: is missing,"
            f" beside {duties.path_of(stated[0])}"
        )
    window_s = duties.number("ratioSpanS", None, MIN_RETRY_WINDOW_S, MAX_RETRY_WINDOW_S)
    return RetryBudgetSettings(
        free_retries=duties.number("freeResends", 0.0),
        retries_per_session=duties.number("resendRatio", 0.0),
        window_ms=window_s * 1000,
    )


def read_slot_count(settings: SettingsReader) -> int:
    """Return the size of the slot table, which must be a power of two."""
    slots = settings.count("slots", 4096)
    if not MIN_SLOTS <= slots <= MAX_SLOTS or slots & (slots - 1):
        raise ConfigurationError(
            f"{settings.path_of('slots')}: must be a power of two"
            f" from {MIN_SLOTS:,} to {MAX_SLOTS:,}"
        )
    return slots


def read_slow_start(duties: SettingsReader) -> SlowStartSettings:
    """Return what a server that has just started can take."""
    return SlowStartSettings(
        initial_share=duties.number("startCapacity", 0.1),
        duration_ms=duties.milliseconds("coldS", 20_000.0),
        rate_multiple=duties.number("tipMultiple", 1.0),
        window_ms=duties.milliseconds("tipAfterS", 1000.0),
    )


def read_endpoint_list(
    settings: SettingsReader, duties: SettingsReader
) -> EndpointListSettings:
    """Return how the list of servers is followed.

    What absence from it means is read later.
    """
    return EndpointListSettings(
        is_polled=settings.text("membershipMode", "automatic") == "subscribe",
        poll_interval_ms=duties.milliseconds("askEveryS", 10_000.0),
        uses_weights=settings.text("weightSource", "off") in ("nominal", "rough"),
        drain_grace_ms=duties.milliseconds("drainGraceS", 0.0),
    )


def read_report_fields(report: SettingsReader, is_reported: bool) -> list[str]:
    """Return the names of what servers report; none where they report nothing."""
    if not is_reported:
        return []
    return [REPORT_FIELD_NAMES.get(name, name) for name in report.texts("names")]
