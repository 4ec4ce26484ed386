"""What the first leader of a zone states about it."""

from wheathill.peers.cluster_view import ClusterView
from wheathill.peers.membership import Member
from wheathill.peers.zones.zone_contacts import ZoneContacts
from wheathill.peers.zones.zone_directory import ZoneDirectory
from wheathill.peers.zones.zone_summary import ZoneLeader, ZoneSummary


def build_summary(
    now_ms: float, view: ClusterView, contacts: ZoneContacts, leaders: list[Member]
) -> ZoneSummary:
    """Return the summary of the own zone, whose view is `view`."""
    directory = contacts.directory
    has_agreement = view.all_digests_match()
    return ZoneSummary(
        state=directory.own_state(view.state),
        max_active_proxies=view.max_active_proxies(now_ms),
        reachable_proxies=1 + len(view.reachable_names()),
        digest=view.digest() if has_agreement else "",
        unreachable_zones=tuple(sorted(contacts.unreachable_zones(now_ms))),
        layout_version=_adopted_layout(view, directory),
        leaders=tuple(ZoneLeader(leader.name, leader.address) for leader in leaders),
    )


def _adopted_layout(view: ClusterView, directory: ZoneDirectory) -> int:
    """Return the layout that all proxies of the own zone hold; it never falls."""
    held = [known.layout_version for known in view.members.values()]
    lowest = 0 if view.unseen_proxy_count() else min([directory.layout.version, *held])
    return max(directory.adopted_layout(directory.own.name), lowest)
