"""Table of all members that an instance knows."""

import hashlib

from wheathill.peers.membership.member import Member, MemberState

MAX_REMOVED = 1024  # processes


class MemberTable:
    """Members by name, and the processes whose updates are ignored.

    Attributes:
        local: This instance as a member.
        members: All members by name. Members that left or died are kept for a while, so
            that an outdated update does not bring them back.
    """

    def __init__(self, local: Member) -> None:
        self.local = local
        self.members: dict[str, Member] = {local.name: local}
        self._removed: dict[tuple[str, int], None] = {}

    def active(self) -> list[Member]:
        """Return all active members, ordered by name.

        They include suspects and this instance.
        """
        members = (self.members[name] for name in sorted(self.members))
        return [member for member in members if member.is_active]

    def active_others(self, *excluded: Member) -> list[Member]:
        """Return the active members except this instance and `excluded`, by name."""
        without = (self.local, *excluded)
        return [member for member in self.active() if member not in without]

    def active_count(self) -> int:
        """Return the number of active members, including this instance."""
        return sum(member.is_active for member in self.members.values())

    def mark_removed(self, member: Member) -> None:
        """Ignore further updates about this process, which has ended."""
        self._removed[member.name, member.generation] = None
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def is_removed(self, name: str, generation: int) -> bool:
        """Return whether updates about this process are ignored."""
        return (name, generation) in self._removed

    def forget_expired(self, now_ms: float, retention_ms: float) -> None:
        """Delete members that left, or are confirmed dead, after `retention_ms`."""
        expired = [
            name
            for name, member in self.members.items()
            if (member.state == MemberState.LEFT or member.is_death_confirmed)
            and now_ms - member.state_since_ms > retention_ms
        ]
        for name in expired:
            del self.members[name]

    def unconfirmed_dead(self) -> list[str]:
        """Return the names of unconfirmed dead members, which may be partitioned."""
        return [
            name
            for name, member in self.members.items()
            if member.state == MemberState.DEAD and not member.is_death_confirmed
        ]

    def digest(self) -> str:
        """Return a digest of the active processes, equal on instances that agree."""
        processes = ";".join(
            f"{member.name} {member.generation}" for member in self.active()
        )
        return hashlib.blake2b(processes.encode(), digest_size=6).hexdigest()
