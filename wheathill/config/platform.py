"""A proxy's configuration from the platform's JSON object.

An operator's own file is turned into the same form (`wheathill.config.operator`), so
that both are checked and given defaults by the same lines. Nothing here needs more than
the standard library.

Values are read in one order, as of several that are wrong the first one is named.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace

from wheathill.config.addresses import parse_address
from wheathill.config.environment import (
    EnvironmentDefaults,
    inherited_listener,
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

NO_ENVIRONMENT = EnvironmentDefaults()
# The fewest descriptors with which a proxy serves anybody.
MIN_SOCKETS, DEFAULT_SOCKETS = 64, 1024
MIN_MEMORY_MB, DEFAULT_MEMORY_MB = 16.0, 192.0
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_PROBE_IDLE_TIMEOUT_MS = 30_000.0
# A second watch is not opened beside the first sooner than that, in ms.
MIN_WATCH_HEDGE_DELAY_MS = 100.0
# Where all proxies poll one service, they wait so long at the least, in ms.
MIN_WATCH_BACKOFF_MS = 500.0


def read_platform_config(environ: Mapping[str, str]) -> NodeConfig:
    """Return the configuration of the file that $NODE_CONFIG names.

    Raises:
        ConfigurationError: The file or one of its values can't be used.
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
    values: object, environment: EnvironmentDefaults = NO_ENVIRONMENT
) -> NodeConfig:
    """Return the configuration that the platform's object states.

    `discovery` may be false: `known` is then the whole list of servers.

    Raises:
        ConfigurationError: A value can't be used.
    """
    top = SettingsReader(values)
    basics = _Basics.read(top, environment)
    settings, policy = top.child("settings"), basics.policy
    admin_text = basics.admin_text
    is_state_kept = bool(admin_text or environment.listen_fd)
    # Arguments are read in the order in which they stand here.
    return NodeConfig(
        name=top.text("name", environment.name),
        listen_address=basics.listen_address,
        discovery_address=basics.discovery_address,
        seed=top.text("seed"),
        listen_fd=inherited_listener(environment.listen_fd, "NODE_FD"),
        admin_address=parse_address(admin_text, "admin_addr") if admin_text else None,
        state_directory=environment.state_directory if is_state_kept else None,
        limits=_read_limits(top, basics),
        initial_endpoints=top.child("known").values,
        listeners=basics.listeners,
        tenants=[item.text("name", "") for item in settings.children("tenants")],
        zones=settings.texts("dcs"),
        uses_groups=settings.child("familyInfo").flag("groups"),
        migrates_at_shutdown=not policy.is_passthrough,
        report_fields=settings.child("report").texts("names"),
        policy=policy,
        raw_config={key: value for key, value in top.values.items() if key != "known"},
    )


@dataclass(frozen=True)
class _Basics:
    """What is read first, and what other values depend on.

    `admin_text` is empty where there is no admin endpoint.
    """

    listeners: list[Listener]
    policy: PolicySettings
    max_sockets: int
    listen_address: tuple[str, int]
    discovery_address: tuple[str, int] | None
    admin_text: str

    @classmethod
    def read(cls, top: SettingsReader, environment: EnvironmentDefaults) -> "_Basics":
        settings, resources = top.child("settings"), top.child("limits")
        listeners = read_listeners(settings)
        if not listeners:
            raise ConfigurationError("settings.listeners: names none")
        # Arguments are read in the order in which they stand here.
        return cls(
            listeners=listeners,
            policy=_read_proxy_policy(settings),
            max_sockets=resources.count(
                "sockets", DEFAULT_SOCKETS, minimum=MIN_SOCKETS
            ),
            listen_address=parse_address(
                top.text("listen", environment.listen), "listen"
            ),
            discovery_address=_read_discovery_address(top, environment),
            admin_text=top.text("admin_addr", environment.admin_address or ""),
        )


def _read_proxy_policy(settings: SettingsReader) -> PolicySettings:
    """Return the policy's settings for a proxy on sockets.

    It measures the latency of messages itself, whatever the settings say.
    """
    policy = read_policy(settings)
    load_estimator = replace(policy.load_estimator, reports_late_messages=True)
    return replace(policy, load_estimator=load_estimator)


def _read_discovery_address(
    top: SettingsReader, environment: EnvironmentDefaults
) -> tuple[str, int] | None:
    if top.values.get("discovery") is False:
        return None
    return parse_address(top.text("discovery", environment.discovery), "discovery")


@dataclass(frozen=True)
class _WatchTiming:
    """When the endpoint list is watched again, in ms, as in `ProxyLimits`."""

    hedge_delay_ms: float
    min_interval_ms: float
    backoff_ms: float = 0.0


def _watch_timing(policy: PolicySettings) -> _WatchTiming:
    # Nothing new may go to a server that leaves once the grace is over: what asks for
    # the list must be well within it.
    half_grace_ms = policy.endpoint_list.drain_grace_ms / 2
    hedge_delay_ms = min(
        ProxyLimits.first_list_timeout_ms, max(MIN_WATCH_HEDGE_DELAY_MS, half_grace_ms)
    )
    min_interval_ms = min(ProxyLimits.min_watch_interval_ms, hedge_delay_ms)
    if not policy.endpoint_list.is_polled:
        return _WatchTiming(hedge_delay_ms, min_interval_ms)
    # Not an agent beside each proxy: what refuses calls that come too often would never
    # be left alone.
    half_turn_ms = policy.proxy_count * ENDPOINT_LIST_CALL_MS / 2
    return _WatchTiming(
        hedge_delay_ms=ProxyLimits.max_watch_backoff_ms,
        min_interval_ms=min_interval_ms,
        backoff_ms=min(
            ProxyLimits.max_watch_backoff_ms, max(MIN_WATCH_BACKOFF_MS, half_turn_ms)
        ),
    )


def _read_limits(top: SettingsReader, basics: _Basics) -> ProxyLimits:
    """Return the limits of one proxy."""
    max_sockets = basics.max_sockets
    memory_mb = top.child("limits").number(
        "memory_mb", DEFAULT_MEMORY_MB, minimum=MIN_MEMORY_MB
    )
    buffers = buffer_sizes(memory_mb, max_sockets)
    watch_timing = _watch_timing(basics.policy)
    session_limits = top.child("settings").child("limits")
    # A timeout that is 0 states none: no connection would ever come up in it.
    connect_timeout_ms = session_limits.milliseconds(
        "connectTimeoutS", DEFAULT_CONNECT_TIMEOUT_MS
    )
    probe_idle_timeout_ms = session_limits.milliseconds(
        "idleCloseS", DEFAULT_PROBE_IDLE_TIMEOUT_MS
    )
    return ProxyLimits(
        max_sockets=max_sockets,
        connect_timeout_ms=connect_timeout_ms or DEFAULT_CONNECT_TIMEOUT_MS,
        max_dial_timeout_ms=max(item.dial_timeout_ms for item in basics.listeners),
        probe_idle_timeout_ms=probe_idle_timeout_ms or DEFAULT_PROBE_IDLE_TIMEOUT_MS,
        reserved_sockets=_reserved_sockets(bool(basics.admin_text)),
        receive_buffer_bytes=buffers.receive_buffer_bytes,
        max_list_line_bytes=buffers.max_list_line_bytes,
        watch_hedge_delay_ms=watch_timing.hedge_delay_ms,
        min_watch_interval_ms=watch_timing.min_interval_ms,
        watch_backoff_ms=watch_timing.backoff_ms,
    )


def _reserved_sockets(has_admin_endpoint: bool) -> int:
    """Return how many descriptors clients never get.

    Operators must get through when clients hold all that is theirs: the requests'
    descriptors and that of the endpoint itself are reserved too.
    """
    reserved = ProxyLimits.reserved_sockets
    if has_admin_endpoint:
        reserved += ProxyLimits.max_admin_requests + 1
    return reserved
