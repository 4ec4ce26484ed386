"""Configurations of a peer service's parts, derived from the `[peers]` settings."""

from wheathill.config.peers import PeerSettings
from wheathill.peers.cluster_view import ClusterViewConfig
from wheathill.peers.membership import MembershipConfig

# Milliseconds; after that what a process had under way has ended or come back.
ENDED_PROCESS_HOLD_MS = 3000.0
# Probe intervals after the start in which others would have answered.
STARTUP_SILENCE_INTERVALS = 3
# Members that are asked to probe one that doesn't answer.
INDIRECT_CHECKS = 3
# Probe intervals that members which have surely gone are remembered.
RETENTION_INTERVALS = 60
# Probe intervals between two exchanges of whole states.
SYNC_INTERVALS = 10


def membership_config(settings: PeerSettings, generation: int) -> MembershipConfig:
    """Return what membership of the fleet, or of the own zone, is built from."""
    interval_ms = settings.probe_interval_ms
    return MembershipConfig(
        name=settings.name,
        address=settings.advertise_address,
        generation=generation,
        probe_interval_ms=interval_ms,
        probe_timeout_ms=settings.probe_timeout_ms,
        indirect_checks=INDIRECT_CHECKS,
        retention_ms=RETENTION_INTERVALS * interval_ms,
        sync_interval_ms=SYNC_INTERVALS * interval_ms,
        digest_sync=settings.layout is not None,
    )


def cluster_view_config(
    settings: PeerSettings, generation: int, expected_proxies: int
) -> ClusterViewConfig:
    """Return what the view of the fleet, or of the own zone, is built from."""
    own_address = settings.advertise_address
    has_other_seeds = any(seed != own_address for seed in settings.seeds)
    silence_ms = STARTUP_SILENCE_INTERVALS * settings.probe_interval_ms
    return ClusterViewConfig(
        name=settings.name,
        generation=generation,
        expected_proxies=expected_proxies,
        expected_members=tuple(settings.expected_members),
        ended_process_hold_ms=ENDED_PROCESS_HOLD_MS,
        startup_wait_ms=silence_ms if has_other_seeds else 0.0,
    )
