"""Anti-entropy of the replicated table: recovers records that gossip has lost.

The header of each message contains the digest of the sender's replica. If the digests
differ for longer than gossip takes, the receiver requests the records that differ
(Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
"""

from wheathill.config.peers import PeerSettings
from wheathill.peers.environment import Clock
from wheathill.peers.zones.effects import ZoneEffects
from wheathill.peers.zones.messages import (
    DeltaReply,
    TableDigestRequest,
    TableUpdate,
)
from wheathill.peers.zones.zone_table import ZoneTable

# Maximum number of requests sent, and of requests answered, per probe interval. It
# bounds the load between members whose replicas differ widely.
MAX_REQUESTS_PER_INTERVAL = 8
# Time until an unanswered request is sent again, in probe intervals, and the maximum
# number of times that it is sent.
RETRY_INTERVALS, MAX_ATTEMPTS = 0.3, 4
# Time since the last change of the replica for which a difference is attributed to
# gossip in progress, in probe intervals.
SETTLING_INTERVALS = 0.5


class TableAntiEntropy:
    """Requests records in which replicas differ, and answers such requests."""

    def __init__(
        self,
        settings: PeerSettings,
        clock: Clock,
        table: ZoneTable,
        effects: ZoneEffects,
    ) -> None:
        self._address = settings.advertise_address
        self._interval_ms = settings.probe_interval_ms
        self._clock = clock
        self._table = table
        self._replica = table.replica
        self._effects = effects
        # When the own replica last changed, and when it last matched another one. The
        # latter is also set by a request, to limit requests during gossip.
        self._last_change_ms = self._last_match_ms = clock.now()
        # By address: when records were last requested from there.
        self._requested_ms: dict[str, float] = {}
        # By address: when the request that is still unanswered was first sent.
        self._unanswered_since_ms: dict[str, float] = {}
        self._answered_count = 0

    def start_interval(self) -> None:
        """Reset the limit of answers for a new probe interval."""
        self._answered_count = 0

    def on_table_changed(self, now_ms: float) -> None:
        """Record that the own replica has changed."""
        self._last_change_ms = now_ms

    def compare(self, now_ms: float, address: str | None, table_digest: int) -> None:
        """Compare the own replica's digest with the digest in a message's header.

        `address` is the sender's, None if the message was received on a stream.
        """
        if table_digest == self._replica.digest:
            self._last_match_ms = now_ms
            self._unanswered_since_ms.clear()
        elif address is not None:
            self.request_difference(now_ms, address)

    # Requester

    def request_difference(self, now_ms: float, address: str) -> None:
        """Request the records that differ from a proxy with a different replica.

        While gossip is in progress, replicas differ for a short time, so no request is
        sent. If records change all the time, so that gossip is always in progress, a
        request is sent nevertheless once no replica has matched for a probe interval.
        """
        interval_ms = self._interval_ms
        is_gossip_in_progress = (
            now_ms - self._last_change_ms < SETTLING_INTERVALS * interval_ms
            and now_ms - self._last_match_ms < interval_ms
        )
        last_request_ms = self._requested_ms.get(address, -interval_ms)
        if is_gossip_in_progress or now_ms - last_request_ms < interval_ms:
            return
        self._remove_old_requests(now_ms)
        if len(self._requested_ms) < MAX_REQUESTS_PER_INTERVAL:
            self._requested_ms[address] = self._last_match_ms = now_ms
            self._unanswered_since_ms[address] = now_ms
            self.send_request(address, now_ms, MAX_ATTEMPTS)

    def _remove_old_requests(self, now_ms: float) -> None:
        old_addresses = [
            address
            for address, requested_ms in self._requested_ms.items()
            if now_ms - requested_ms >= self._interval_ms
        ]
        for address in old_addresses:
            del self._requested_ms[address]

    def send_request(
        self, address: str, first_sent_ms: float, attempts_left: int
    ) -> None:
        """Send a request, and repeat it until it is answered or attempts run out.

        The request or the answer may be lost, and without a repetition the next request
        would follow only two probe intervals later if records change all the time.
        """
        if self._unanswered_since_ms.get(address) != first_sent_ms:
            return
        request = TableDigestRequest(self._address, self._replica.bucket_digests)
        self._effects.send_table_message(address, request)
        wait_ms = RETRY_INTERVALS * self._interval_ms
        if attempts_left > 1:
            self._clock.after(
                wait_ms, self.send_request, address, first_sent_ms, attempts_left - 1
            )
        else:
            self._clock.after(wait_ms, self._give_up, address, first_sent_ms)

    def _give_up(self, address: str, first_sent_ms: float) -> None:
        if self._unanswered_since_ms.get(address) == first_sent_ms:
            del self._unanswered_since_ms[address]

    def on_reply(self, now_ms: float, zone: str, reply: DeltaReply) -> None:
        """Merge the records of a proxy of `zone`, and send it the records it lacks.

        Raises ValueError or TypeError if a record can't be decoded.
        """
        self._unanswered_since_ms.pop(reply.reply_address, None)
        records = self._table.decode(reply.records)
        newer = self._replica.newer_records(reply.buckets, records)
        self._effects.merge_records(now_ms, records, zone)
        for batch in self._table.batches(newer):
            self._effects.send_table_message(reply.reply_address, TableUpdate(batch))

    # Responder

    def on_request(self, request: TableDigestRequest) -> None:
        """Answer a request unless the limit of the probe interval is reached.

        Raises ValueError or TypeError if the request doesn't contain one digest for
        each bucket.
        """
        if self._answered_count >= MAX_REQUESTS_PER_INTERVAL:
            return
        self._answered_count += 1
        buckets = self._replica.differing_buckets(request.bucket_digests)
        for batch in self._table.bucket_batches(buckets):
            reply = DeltaReply(self._address, batch.buckets, batch.records)
            self._effects.send_table_message(request.reply_address, reply)
