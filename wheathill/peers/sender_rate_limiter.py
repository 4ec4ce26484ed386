"""A rate limit for each sender, so that one that floods costs the others nothing."""

from collections import OrderedDict
from dataclasses import dataclass

BURST_MESSAGES = 400  # messages of one sender that are accepted at once
MESSAGES_PER_MS = (
    200.0 / 1000
)  # messages of one sender that are accepted in the long run
MAX_SENDERS = 4096  # of which buckets are kept; the oldest are dropped


@dataclass(slots=True)
class TokenBucket:
    """How many messages of one sender may come at `updated_ms`."""

    tokens: float
    updated_ms: float


class SenderRateLimiter:
    """A token bucket for each address."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def allow(self, now_ms: float, address: str) -> bool:
        """Return whether a message of that address is accepted, and count it if so."""
        bucket = self._buckets.get(address)
        if bucket is None:
            bucket = self._buckets[address] = TokenBucket(BURST_MESSAGES, now_ms)
            while len(self._buckets) > MAX_SENDERS:
                self._buckets.popitem(last=False)
        refill = (now_ms - bucket.updated_ms) * MESSAGES_PER_MS
        bucket.tokens = min(BURST_MESSAGES, bucket.tokens + refill)
        bucket.updated_ms = now_ms
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True
