"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, kw_only=True)
class MembershipConfig:
    """Membership settings of one instance.

    The intervals must be the same throughout a cluster.

    Attributes:
        name: Name of this instance, unique within the cluster.
        address: "HOST:PORT" at which other instances reach this one.
        generation: Number that no other process of this name has or had.
        probe_interval_ms: Time between two probes; SWIM's protocol period. Multiplied
            by the local health multiplier.
        probe_timeout_ms: Time to wait for an ack before indirect probes are requested.
            Multiplied by the local health multiplier.
        indirect_checks: Number of other members that are asked to ping a member that
            has not answered; SWIM's k.
        retention_ms: How long members that left, or whose death is confirmed, are kept.
        sync_interval_ms: Time between two full state exchanges with a random member.
        digest_sync: Whether digests are compared first and only differences are sent.
            Must be the same throughout a cluster.
    """

    name: str
    address: str
    generation: int
    probe_interval_ms: float
    probe_timeout_ms: float
    indirect_checks: int
    retention_ms: float
    sync_interval_ms: float
    digest_sync: bool = False
