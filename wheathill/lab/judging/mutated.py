"""Instances broken on purpose, each in one way that a judge of the fleet must name. `lab/mutant` starts them as
programs."""

from wheathill.peers.cluster_view import ClusterView
from wheathill.peers.drain_registry import DrainRegistry
from wheathill.peers.fallback_probe import ProbeConnection
from wheathill.peers.frames import FrameAuthenticator
from wheathill.peers.membership import MemberState, updates
from wheathill.peers.membership.anti_entropy import AntiEntropy
from wheathill.peers.membership.context import MembershipContext
from wheathill.peers.membership.name_conflicts import NameOwnership
from wheathill.peers.membership.refutation import Refutation
from wheathill.peers.membership.updates import UpdateHandler
from wheathill.peers.peer_service import PeerService
from wheathill.peers.zones.table_anti_entropy import TableAntiEntropy
from wheathill.peers.zones.table_gossip import TableGossip
from wheathill.peers.zones.zone_contacts import ZoneContacts
from wheathill.peers.zones.zone_quota import ZoneQuota
from wheathill.policy.balancer import Balancer


def counts_only_the_alive():
    """A share of those that are seen alive, as if the others did nothing."""
    ClusterView.max_active_proxies = lambda self, now: 1 + len(self.reachable_names())


def forgets_who_is_cut_off():
    told = ClusterView.update_member
    ClusterView.update_member = lambda self, now, name, birth, state, certain: told(
        self, now, name, birth, state, certain or state == MemberState.DEAD
    )


def rumour_beats_own_sight():
    """And whoever is spoken of is the last to hear of it."""
    gossip_updates = MembershipContext.gossip_updates
    updates.MIN_CONTACT_INTERVALS = updates.MAX_CONTACT_INTERVALS = 0.0
    Refutation.refute = lambda self, reported_by: None
    MembershipContext.gossip_updates = lambda self, first=None: gossip_updates(self)


def never_denies():
    Refutation.apply = lambda self, now_ms, update: None


def keeps_its_birth():
    begin = PeerService.__init__
    PeerService.__init__ = lambda self, settings, environment, generation, expected: (
        begin(self, settings, environment, sum(settings.name.encode()), expected)
    )


def buries_who_stands_still():
    ProbeConnection.connected = lambda self: None


def takes_no_successor():
    UpdateHandler.on_contact = lambda self, now_ms, name, generation, address: None


def never_asks_the_dead():
    synchronise = AntiEntropy.synchronise

    def only_alive(self, now_ms):
        table = self._context.table
        kept = table.members
        table.members = {
            name: member
            for name, member in kept.items()
            if member.state != MemberState.DEAD
        }
        synchronise(self, now_ms)
        table.members = {**kept, **table.members}

    AntiEntropy.synchronise = only_alive


def keeps_drains_to_itself():
    DrainRegistry.record_list_entry = lambda self, server, is_draining, started: None
    DrainRegistry.own_records = lambda self: []


def own_list_undoes_drains():
    DrainRegistry.is_draining = lambda self, server, started: False


def goes_past_any_other():
    """Of its name, whoever holds it."""
    NameOwnership.resolve_conflict = lambda self, now_ms, other: (
        self._context.raise_incarnation(other.incarnation)
    )


def takes_its_zone_for_all():
    ZoneQuota.quota = lambda self: 1.0


def keeps_news_in_its_zone():
    TableGossip._take_pending_for_other_zones = lambda self: {}
    TableAntiEntropy.request_difference = lambda self, now_ms, address: None


def holds_on_to_a_zone_that_is_cut_off():
    ZoneContacts.unreachable_zones = lambda self, now_ms: []


MUTANTS = {
    call.__name__.replace("_", "-"): call
    for call in (
        counts_only_the_alive,
        forgets_who_is_cut_off,
        rumour_beats_own_sight,
        never_denies,
        keeps_its_birth,
        buries_who_stands_still,
        takes_no_successor,
        never_asks_the_dead,
        keeps_drains_to_itself,
        own_list_undoes_drains,
        goes_past_any_other,
        takes_its_zone_for_all,
        keeps_news_in_its_zone,
        holds_on_to_a_zone_that_is_cut_off,
    )
}


def goes_by_the_file():
    """No mutant, but for comparison: the file's number decides, whoever is there."""
    Balancer.on_quota_changed = lambda self, now, share: None
    ClusterView.permit = lambda self, server, bears, unit: unit * bears


def speaks_another_version():
    """No mutant, but a member of a later build."""
    FrameAuthenticator.version += 1


VARIANTS = {
    **MUTANTS,
    "goes-by-the-file": goes_by_the_file,
    "speaks-another-version": speaks_another_version,
}


def program(name):
    """The words that start it, after the interpreter's."""
    return "-m", "wheathill.lab.mutant", name
