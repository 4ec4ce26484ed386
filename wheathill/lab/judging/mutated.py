"""Changes that each break one part of the program, which a judge of the fleet must name.

Each replaces methods of the program's classes in the process that calls it; `lab/mutant` starts such processes. The
name of a function, with hyphens, is the mutant's name on the command line.
"""

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
    """Divide the quota among the proxies that are seen alive, as if unreachable ones used none of it."""
    ClusterView.max_active_proxies = lambda self, now: 1 + len(self.reachable_names())


def forgets_who_is_cut_off():
    """Treat every dead member as certainly dead, also where it is only unreachable."""
    update_member = ClusterView.update_member
    ClusterView.update_member = lambda self, now, name, generation, state, is_certain: (
        update_member(
            self, now, name, generation, state, is_certain or state == MemberState.DEAD
        )
    )


def rumour_beats_own_sight():
    """Accept reports against a member that was heard recently, and let the member itself hear of them last."""
    gossip_updates = MembershipContext.gossip_updates
    updates.MIN_CONTACT_INTERVALS = updates.MAX_CONTACT_INTERVALS = 0.0
    Refutation.refute = lambda self, reported_by: None
    MembershipContext.gossip_updates = lambda self, first=None: gossip_updates(self)


def never_denies():
    """Never refute a suspicion."""
    Refutation.apply = lambda self, now_ms, update: None


def keeps_its_birth():
    """Use the same generation for every process of a name."""
    initialise = PeerService.__init__
    PeerService.__init__ = (
        lambda self, settings, environment, generation, expected_proxies: initialise(
            self,
            settings,
            environment,
            sum(settings.name.encode()),
            expected_proxies,
        )
    )


def buries_who_stands_still():
    """Ignore that a fallback probe has connected, so that a paused process is declared dead."""
    ProbeConnection.connected = lambda self: None


def takes_no_successor():
    """Ignore contact by a new generation of a known member."""
    UpdateHandler.on_contact = lambda self, now_ms, name, generation, address: None


def never_asks_the_dead():
    """Never run anti-entropy with dead members, so that the two sides of a partition never meet again."""
    synchronise = AntiEntropy.synchronise

    def synchronise_without_dead(self, now_ms):
        table = self._context.table
        all_members = table.members
        table.members = {
            name: member
            for name, member in all_members.items()
            if member.state != MemberState.DEAD
        }
        synchronise(self, now_ms)
        table.members = {**all_members, **table.members}

    AntiEntropy.synchronise = synchronise_without_dead


def keeps_drains_to_itself():
    """Send no drain records to other proxies."""
    DrainRegistry.record_list_entry = lambda self, server, is_draining, started: None
    DrainRegistry.own_records = lambda self: []


def own_list_undoes_drains():
    """Ignore the drains that other proxies have reported."""
    DrainRegistry.is_draining = lambda self, server, started: False


def goes_past_any_other():
    """Raise its incarnation above that of any other process with its name, instead of yielding the name."""
    NameOwnership.resolve_conflict = lambda self, now_ms, other: (
        self._context.raise_incarnation(other.incarnation)
    )


def takes_its_zone_for_all():
    """Let each zone use the whole quota."""
    ZoneQuota.quota = lambda self: 1.0


def keeps_news_in_its_zone():
    """Send no table records to other zones, neither by gossip nor by anti-entropy."""
    TableGossip._take_pending_for_other_zones = lambda self: {}
    TableAntiEntropy.request_difference = lambda self, now_ms, address: None


def holds_on_to_a_zone_that_is_cut_off():
    """Never find a zone unreachable."""
    ZoneContacts.unreachable_zones = lambda self, now_ms: []


MUTANTS = {
    mutant.__name__.replace("_", "-"): mutant
    for mutant in (
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
    """Variant for comparison: use the configured number of proxies, however many are active."""
    Balancer.on_quota_changed = lambda self, now, quota: None
    ClusterView.permit = lambda self, server, own_capacity, attempts_per_capacity: (
        attempts_per_capacity * own_capacity
    )


def speaks_another_version():
    """Variant for comparison: a member of a later release."""
    FrameAuthenticator.version += 1


VARIANTS = {
    **MUTANTS,
    "goes-by-the-file": goes_by_the_file,
    "speaks-another-version": speaks_another_version,
}


def program(name):
    """Return the interpreter's arguments that start the mutant or variant `name`."""
    return "-m", "wheathill.lab.mutant", name
