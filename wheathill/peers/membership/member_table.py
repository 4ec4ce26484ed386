"""All members that an instance knows."""

import hashlib

from wheathill.peers.membership.member import Member, MemberState

MAX_REMOVED = 1024  # processes that are remembered as gone for good


class MemberTable:
    """The members by name, and the processes that are gone for good.

    Attributes:
        local: The member that is this instance.
        members: All members by name; those that left or died stay for a while, so that
            an old update does not bring them back.
    """

    def __init__(self, local: Member) -> None:
        self.local = local
        self.members: dict[str, Member] = {local.name: local}
        self._removed: dict[tuple[str, int], None] = {}

    def active(self) -> list[Member]:
        """Return the members that count as running, in order of name.

        Suspects and this instance are among them.
        """
        members = (self.members[name] for name in sorted(self.members))
        return [member for member in members if member.is_active]

    def active_others(self, *excluded: Member) -> list[Member]:
        """Return the active members but this instance and those excluded, by name."""
        without = (self.local, *excluded)
        return [member for member in self.active() if member not in without]

    def active_count(self) -> int:
        """Return how many members count as running, this instance among them."""
        return sum(member.is_active for member in self.members.values())

    def mark_removed(self, member: Member) -> None:
        """Ignore updates about this process from now on: it is gone for good."""
        self._removed[member.name, member.generation] = None
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def is_removed(self, name: str, generation: int) -> bool:
        """Whether this process is gone for good."""
        return (name, generation) in self._removed

    def forget_expired(self, now_ms: float, retention_ms: float) -> None:
        """Forget the members that have surely been gone for `retention_ms`."""
        expired = [
            name
            for name, member in self.members.items()
            if (member.state == MemberState.LEFT or member.is_death_confirmed)
            and now_ms - member.state_since_ms > retention_ms
        ]
        for name in expired:
            del self.members[name]

    def unconfirmed_dead(self) -> list[str]:
        """Return the dead whose death nobody observed: they may be partitioned."""
        return [
            name
            for name, member in self.members.items()
            if member.state == MemberState.DEAD and not member.is_death_confirmed
        ]

    def digest(self) -> str:
        """Return a digest of the active processes, the same where views agree."""
        processes = ";".join(
            f"{member.name} {member.generation}" for member in self.active()
        )
        return hashlib.blake2b(processes.encode(), digest_size=6).hexdigest()
