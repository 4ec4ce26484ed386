"""Builds the summary of the own zone, from the view of the zone's first leader."""

from wheathill.peers.cluster_view import ClusterView
from wheathill.peers.membership import Member
from wheathill.peers.zones.zone_contacts import ZoneContacts
from wheathill.peers.zones.zone_directory import ZoneDirectory
from wheathill.peers.zones.zone_summary import ZoneLeader, ZoneSummary


def build_summary(
    now_ms: float, view: ClusterView, contacts: ZoneContacts, leaders: list[Member]
) -> ZoneSummary:
    """Return the summary of the own zone; `view` is the leader's view of it."""
    directory = contacts.directory
    has_equal_digests = view.all_digests_match()
    return ZoneSummary(
        state=directory.own_state(view.state),
        max_active_proxies=view.max_active_proxies(now_ms),
        reachable_proxies=1 + len(view.reachable_names()),
        digest=view.digest() if has_equal_digests else "",
        unreachable_zones=tuple(sorted(contacts.unreachable_zones(now_ms))),
        layout_version=_adopted_layout_version(view, directory),
        leaders=tuple(ZoneLeader(leader.name, leader.address) for leader in leaders),
    )


def _adopted_layout_version(view: ClusterView, directory: ZoneDirectory) -> int:
    """Return the version of the layout that all proxies of the own zone have.

    The version never decreases.
    """
    versions = [known.layout_version for known in view.members.values()]
    lowest = (
        0 if view.unseen_proxy_count() else min([directory.layout.version, *versions])
    )
    return max(directory.adopted_layout_version(directory.own_zone.name), lowest)
