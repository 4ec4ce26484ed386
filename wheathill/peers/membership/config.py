"""The settings of one instance's membership."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True, kw_only=True)
class MembershipConfig:
    """Settings of one instance.

    The intervals must be the same throughout a cluster.

    Attributes:
        name: Of this instance, unique within the cluster.
        address: "HOST:PORT" at which the others reach it.
        generation: A number that no other process under this name has or had.
        probe_interval_ms: Between two probes; SWIM's protocol period. Stretched with
            the local health.
        probe_timeout_ms: For the answer to a ping, before others are asked to ping.
            Stretched with the local health.
        indirect_checks: How many others are asked to ping a member that has not
            answered; SWIM's k.
        retention_ms: How long members that have left, or whose death is confirmed, are
            remembered.
        sync_interval_ms: Between two exchanges of whole states with a member at random.
        digest_sync: Whether states are compared by digest first, and only what differs
            is sent. All instances of a cluster do so, or none.
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
