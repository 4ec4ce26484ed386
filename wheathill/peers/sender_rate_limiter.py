"""Rate limit per sender, so that a flooding sender does not affect others."""

from collections import OrderedDict
from dataclasses import dataclass

BURST_MESSAGES = 400  # per sender
MESSAGES_PER_MS = 200.0 / 1000  # sustained rate per sender
MAX_SENDERS = 4096  # senders with a token bucket; the oldest are evicted


@dataclass(slots=True)
class TokenBucket:
    """Number of messages that one sender may send, as of `updated_ms`."""

    tokens: float
    updated_ms: float


class SenderRateLimiter:
    """Limits received messages with one token bucket per sender address."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def allow(self, now_ms: float, address: str) -> bool:
        """Consume a token of `address`; return whether its message is allowed."""
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
