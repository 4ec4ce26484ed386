"""Anti-entropy of the replicated table: what gossip has lost is requested and sent.

Each message states the digest of its sender's replica. Where it differs for longer than
gossip needs, the receiver requests what differs (Demers et al., "Epidemic Algorithms
for Replicated Database Maintenance", 1987).
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

# Requests under way, and requests answered, in a probe interval: a bound on what
# members with many differences cost each other.
MAX_REQUESTS_PER_INTERVAL = 8
# Probe intervals until an answer would be there, and how often a request is sent.
RETRY_INTERVALS, MAX_ATTEMPTS = 0.3, 4
# Probe intervals without a change, from which a difference is no longer taken for
# gossip that is under way.
SETTLING_INTERVALS = 0.5


class TableAntiEntropy:
    """Requests what differs between replicas, and answers such requests."""

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
        # When the own replica last changed, and was last the same as another's.
        self._changed_ms = self._same_ms = clock.now()
        # By address: when what differs was last requested there.
        self._requested_ms: dict[str, float] = {}
        # By address: when the request was first sent that has no answer yet.
        self._unanswered_since_ms: dict[str, float] = {}
        self._answered_in_interval = 0

    def start_interval(self) -> None:
        """Begin another probe interval."""
        self._answered_in_interval = 0

    def on_table_changed(self, now_ms: float) -> None:
        """Note that the own replica has changed."""
        self._changed_ms = now_ms

    def compare(self, now_ms: float, address: str | None, table_digest: int) -> None:
        """Compare the own replica's digest with that of a message's sender.

        `address` is None where the message came on a stream.
        """
        if table_digest == self._replica.digest:
            self._same_ms = now_ms
            self._unanswered_since_ms.clear()
        elif address is not None:
            self.request_difference(now_ms, address)

    # The requester's part

    def request_difference(self, now_ms: float, address: str) -> None:
        """Request what differs from a proxy whose replica differs.

        Not while gossip is under way, as replicas differ for a moment then; but where
        records change all the time, what was lost is requested all the same.
        """
        interval_ms = self._interval_ms
        is_settling = (
            now_ms - self._changed_ms < SETTLING_INTERVALS * interval_ms
            and now_ms - self._same_ms < interval_ms
        )
        last_ms = self._requested_ms.get(address, -interval_ms)
        if is_settling or now_ms - last_ms < interval_ms:
            return
        self._forget_old_requests(now_ms)
        if len(self._requested_ms) < MAX_REQUESTS_PER_INTERVAL:
            self._requested_ms[address] = self._same_ms = now_ms
            self._unanswered_since_ms[address] = now_ms
            self.send_request(address, now_ms, MAX_ATTEMPTS)

    def _forget_old_requests(self, now_ms: float) -> None:
        old = [
            address
            for address, requested_ms in self._requested_ms.items()
            if now_ms - requested_ms >= self._interval_ms
        ]
        for address in old:
            del self._requested_ms[address]

    def send_request(
        self, address: str, first_sent_ms: float, attempts_left: int
    ) -> None:
        """Send a request, and again where no answer comes.

        The request or the answer may have been lost, and where records change all the
        time the next request would be made two probe intervals later.
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
        """Take in what a proxy of `zone` has, and send it what it lacks.

        Raises ValueError or TypeError where a record can't be read.
        """
        self._unanswered_since_ms.pop(reply.reply_address, None)
        records = self._table.decode(reply.records)
        newer = self._replica.newer_records(reply.buckets, records)
        self._effects.merge_records(now_ms, records, zone)
        for batch in self._table.batches(newer):
            self._effects.send_table_message(reply.reply_address, TableUpdate(batch))

    # The answerer's part

    def on_request(self, request: TableDigestRequest) -> None:
        """Answer a request, up to a bound in each probe interval.

        Raises ValueError or TypeError where it doesn't state a digest of each bucket.
        """
        if self._answered_in_interval >= MAX_REQUESTS_PER_INTERVAL:
            return
        self._answered_in_interval += 1
        buckets = self._replica.differing_buckets(request.bucket_digests)
        for batch in self._table.bucket_batches(buckets):
            reply = DeltaReply(self._address, batch.buckets, batch.records)
            self._effects.send_table_message(request.reply_address, reply)
