"""Cluster membership: SWIM with suspicion and Lifeguard's local health awareness.

Implements "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (Das, Gupta, Motivala, 2002) and "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (Dadgar, Phillips, Currey, 2018), and uses the terms of
these papers and of HashiCorp's memberlist. docs/design/membership.md describes the
extensions.
"""

from wheathill.peers.membership.config import MembershipConfig
from wheathill.peers.membership.effects import (
    FallbackProbe,
    MembershipEffects,
    ProbePurpose,
    ProbeResult,
    Timer,
)
from wheathill.peers.membership.member import Member, MemberState
from wheathill.peers.membership.membership import Membership
from wheathill.peers.membership.messages import (
    InvalidMessageError,
    MemberUpdate,
    Message,
    StateSync,
    decode_message,
    encode_message,
)

__all__ = [
    "FallbackProbe",
    "InvalidMessageError",
    "Member",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipConfig",
    "MembershipEffects",
    "Message",
    "ProbePurpose",
    "ProbeResult",
    "StateSync",
    "Timer",
    "decode_message",
    "encode_message",
]
