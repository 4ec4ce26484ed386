"""Configuration of membership and cluster view, derived from `[peers]` settings."""

from wheathill.config.peers import PeerSettings
from wheathill.peers.cluster_view import ClusterViewConfig
from wheathill.peers.membership import MembershipConfig

# After this time, work that an ended process had in progress has finished or failed.
ENDED_PROCESS_HOLD_MS = 3000.0
# Probe intervals after the start within which other proxies would have answered.
STARTUP_WAIT_INTERVALS = 3
# Members that are asked for an indirect probe of a member that doesn't answer.
INDIRECT_PROBES = 3
# Probe intervals for which members that have certainly ended are remembered.
ENDED_MEMBER_RETENTION_INTERVALS = 60
# Probe intervals between two exchanges of the full membership state.
SYNC_INTERVALS = 10


def membership_config(settings: PeerSettings, generation: int) -> MembershipConfig:
    """Return the configuration of membership in the fleet, or in this proxy's zone."""
    interval_ms = settings.probe_interval_ms
    return MembershipConfig(
        name=settings.name,
        address=settings.advertise_address,
        generation=generation,
        probe_interval_ms=interval_ms,
        probe_timeout_ms=settings.probe_timeout_ms,
        indirect_checks=INDIRECT_PROBES,
        retention_ms=ENDED_MEMBER_RETENTION_INTERVALS * interval_ms,
        sync_interval_ms=SYNC_INTERVALS * interval_ms,
        digest_sync=settings.layout is not None,
    )


def cluster_view_config(
    settings: PeerSettings, generation: int, expected_proxies: int
) -> ClusterViewConfig:
    """Return the configuration of the view of the fleet, or of this proxy's zone."""
    own_address = settings.advertise_address
    has_other_seeds = any(seed != own_address for seed in settings.seeds)
    startup_wait_ms = STARTUP_WAIT_INTERVALS * settings.probe_interval_ms
    return ClusterViewConfig(
        name=settings.name,
        generation=generation,
        expected_proxies=expected_proxies,
        expected_members=tuple(settings.expected_members),
        ended_process_hold_ms=ENDED_PROCESS_HOLD_MS,
        startup_wait_ms=startup_wait_ms if has_other_seeds else 0.0,
    )
