"""Reading of the platform's JSON configuration.

An operator's file is converted to the same format (`wheathill.config.operator`), so
that both share validation and defaults. This module and its imports need only the
standard library.

If several values are invalid, only the first one read is reported, so values are read
in a fixed order.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace

from wheathill.config.addresses import parse_address
from wheathill.config.environment import (
    EnvironmentDefaults,
    parse_listen_fd,
    read_environment,
)
from wheathill.config.errors import ConfigurationError
from wheathill.config.limits import ProxyLimits, buffer_sizes
from wheathill.config.listener_settings import read_listeners
from wheathill.config.node import NodeConfig
from wheathill.config.policy_settings import read_policy
from wheathill.config.settings_reader import SettingsReader
from wheathill.model import ENDPOINT_LIST_CALL_MS, Listener
from wheathill.policy.settings import PolicySettings

EMPTY_ENVIRONMENT = EnvironmentDefaults()
# A proxy with fewer file descriptors could not serve any client.
MIN_SOCKETS, DEFAULT_SOCKETS = 64, 1024
MIN_MEMORY_MB, DEFAULT_MEMORY_MB = 16.0, 192.0
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_PROBE_IDLE_TIMEOUT_MS = 30_000.0
# Minimum delay before a second watch is opened in parallel to the first, in ms.
MIN_WATCH_HEDGE_DELAY_MS = 100.0
# Minimum backoff after a failed poll of a service that all proxies share, in ms.
MIN_WATCH_BACKOFF_MS = 500.0


def read_platform_config(environ: Mapping[str, str]) -> NodeConfig:
    """Return the configuration in the file that $NODE_CONFIG names.

    Raises:
        ConfigurationError: the file cannot be read, or a value is invalid.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("NODE_CONFIG: is missing")
    try:
        with open(path, "rb") as source:
            values = json.load(source)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"NODE_CONFIG: {path}: {error}") from None
    return build_node_config(values, read_environment(environ))


def build_node_config(
    values: object, environment: EnvironmentDefaults = EMPTY_ENVIRONMENT
) -> NodeConfig:
    """Return the configuration in the platform's JSON object.

    If `discovery` is false, `known` is the complete list of servers.

    Args:
        values: the JSON object.
        environment: values that the object may omit.

    Raises:
        ConfigurationError: a value is invalid.
    """
    root = SettingsReader(values)
    core = _CoreSettings.read(root, environment)
    settings, policy = root.child("settings"), core.policy
    admin_text = core.admin_text
    is_state_kept = bool(admin_text or environment.listen_fd)
    # The order of the arguments is the order of reading.
    return NodeConfig(
        name=root.text("name", environment.name),
        listen_address=core.listen_address,
        discovery_address=core.discovery_address,
        seed=root.text("seed"),
        listen_fd=parse_listen_fd(environment.listen_fd, "NODE_FD"),
        admin_address=parse_address(admin_text, "admin_addr") if admin_text else None,
        state_directory=environment.state_directory if is_state_kept else None,
        limits=_read_limits(root, core),
        initial_endpoints=root.child("known").values,
        listeners=core.listeners,
        tenants=[item.text("name", "") for item in settings.children("tenants")],
        zones=settings.texts("dcs"),
        uses_groups=settings.child("familyInfo").flag("groups"),
        migrates_at_shutdown=not policy.is_passthrough,
        report_fields=settings.child("report").texts("names"),
        policy=policy,
        raw_config={key: value for key, value in root.values.items() if key != "known"},
    )


@dataclass(frozen=True)
class _CoreSettings:
    """The values that are read first, some of which others depend on.

    Attributes:
        admin_text: the admin endpoint's address, empty if there is none.
    """

    listeners: list[Listener]
    policy: PolicySettings
    max_sockets: int
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int] | None
    admin_text: str

    @classmethod
    def read(
        cls, root: SettingsReader, environment: EnvironmentDefaults
    ) -> "_CoreSettings":
        """Read the values from the configuration and the environment."""
        settings, resources = root.child("settings"), root.child("limits")
        listeners = read_listeners(settings)
        if not listeners:
            raise ConfigurationError("settings.listeners: must not be empty")
        # The order of the arguments is the order of reading.
        return cls(
            listeners=listeners,
            policy=_read_proxy_policy(settings),
            max_sockets=resources.count(
                "sockets", DEFAULT_SOCKETS, minimum=MIN_SOCKETS
            ),
            listen_address=parse_address(
                root.text("listen", environment.listen), "listen"
            ),
            discovery_address=_read_discovery_address(root, environment),
            admin_text=root.text("admin_addr", environment.admin_address or ""),
        )


def _read_proxy_policy(settings: SettingsReader) -> PolicySettings:
    """Return the settings of the policy of a real proxy, as opposed to a simulated one.

    It measures the latency of messages itself, so the setting for that is overridden.
    """
    policy = read_policy(settings)
    load_estimator = replace(policy.load_estimator, reports_late_messages=True)
    return replace(policy, load_estimator=load_estimator)


def _read_discovery_address(
    root: SettingsReader, environment: EnvironmentDefaults
) -> tuple[str, int] | None:
    if root.values.get("discovery") is False:
        return None
    return parse_address(root.text("discovery", environment.discovery), "discovery")


@dataclass(frozen=True)
class _WatchTiming:
    """Timing of watches of the endpoint list, in ms; see `ProxyLimits`."""

    hedge_delay_ms: float
    min_interval_ms: float
    backoff_ms: float = 0.0


def _watch_timing(policy: PolicySettings) -> _WatchTiming:
    # No new session may be sent to a draining server once its grace period is over, so
    # the list must be requested well within that period.
    half_grace_ms = policy.endpoint_list.drain_grace_ms / 2
    hedge_delay_ms = min(
        ProxyLimits.first_list_timeout_ms, max(MIN_WATCH_HEDGE_DELAY_MS, half_grace_ms)
    )
    min_interval_ms = min(ProxyLimits.min_watch_interval_ms, hedge_delay_ms)
    if not policy.endpoint_list.is_polled:
        return _WatchTiming(hedge_delay_ms, min_interval_ms)
    # The service is shared by all proxies and rejects requests that are too frequent.
    # Without backoff they would keep it overloaded.
    half_poll_cycle_ms = policy.proxy_count * ENDPOINT_LIST_CALL_MS / 2
    return _WatchTiming(
        hedge_delay_ms=ProxyLimits.max_watch_backoff_ms,
        min_interval_ms=min_interval_ms,
        backoff_ms=min(
            ProxyLimits.max_watch_backoff_ms,
            max(MIN_WATCH_BACKOFF_MS, half_poll_cycle_ms),
        ),
    )


def _read_limits(root: SettingsReader, core: _CoreSettings) -> ProxyLimits:
    """Return the limits of the proxy, some of which depend on its configuration."""
    max_sockets = core.max_sockets
    memory_mb = root.child("limits").number(
        "memory_mb", DEFAULT_MEMORY_MB, minimum=MIN_MEMORY_MB
    )
    buffers = buffer_sizes(memory_mb, max_sockets)
    watch_timing = _watch_timing(core.policy)
    session_limits = root.child("settings").child("limits")
    # A timeout of 0 would prevent all connections, so it selects the default.
    connect_timeout_ms = session_limits.milliseconds(
        "connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_MS
    )
    probe_idle_timeout_ms = session_limits.milliseconds(
        "idleCloseS", DEFAULT_PROBE_IDLE_TIMEOUT_MS
    )
    return ProxyLimits(
        max_sockets=max_sockets,
        connect_timeout_ms=connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS,
        max_dial_timeout_ms=max(item.dial_timeout_ms for item in core.listeners),
        probe_idle_timeout_ms=probe_idle_timeout_ms or DEFAULT_PROBE_IDLE_TIMEOUT_MS,
        reserved_sockets=_reserved_sockets(bool(core.admin_text)),
        receive_buffer_bytes=buffers.receive_buffer_bytes,
        max_list_line_bytes=buffers.max_list_line_bytes,
        watch_hedge_delay_ms=watch_timing.hedge_delay_ms,
        min_watch_interval_ms=watch_timing.min_interval_ms,
        watch_backoff_ms=watch_timing.backoff_ms,
    )


def _reserved_sockets(has_admin_endpoint: bool) -> int:
    """Return the number of descriptors that clients cannot use.

    The admin endpoint must stay reachable when clients use all other descriptors. Its
    listening socket and its maximum number of requests are therefore reserved too.
    """
    reserved = ProxyLimits.reserved_sockets
    if has_admin_endpoint:
        reserved += ProxyLimits.max_admin_requests + 1
    return reserved
