"""Version vectors and the dots that they cover.

After Parker et al., "Detection of Mutual Inconsistency in Distributed Systems" (1983).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class Dot(NamedTuple):
    """One change: the replica that made it and its sequence number there, from 1 up."""

    replica_id: str
    sequence: int


class Version(NamedTuple):
    """Lamport time and dot of one change."""

    lamport_time: int
    replica_id: str
    sequence: int


class VersionVector(dict[str, int]):
    """Maps a replica id to the last sequence number of its changes that are included.

    It is a dict so that it is encoded as a plain map, in the order of its keys.
    """

    __slots__ = ()

    def covers(self, dots: Iterable[tuple[str, int]]) -> bool:
        """Return whether all of the dots are included."""
        return all(self.get(replica_id, 0) >= sequence for replica_id, sequence in dots)

    def merged_with(self, other: Mapping[str, int]) -> VersionVector:
        """Return the larger number of each replica.

        The replicas are sorted, so that all members encode equal vectors to equal
        bytes.
        """
        return VersionVector(
            {
                replica_id: max(self.get(replica_id, 0), other.get(replica_id, 0))
                for replica_id in sorted({**self, **other})
            }
        )

    def including(self, dot: Dot) -> VersionVector:
        """Return this vector with the sequence number of one replica replaced."""
        return VersionVector({**self, dot.replica_id: dot.sequence})

    def advance(self, replica_id: str, sequence: int) -> None:
        """Include the changes of one replica up to `sequence`, in place."""
        self[replica_id] = max(self.get(replica_id, 0), sequence)
