"""Version vectors and the dots that they cover.

See Parker et al., "Detection of Mutual Inconsistency in Distributed Systems" (1983).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple


class Dot(NamedTuple):
    """Identifies a change by its replica and its sequence number there, from 1."""

    replica_id: str
    sequence: int


class Version(NamedTuple):
    """Lamport time and dot of a change; tuple order decides which write is later."""

    lamport_time: int
    replica_id: str
    sequence: int


class VersionVector(dict[str, int]):
    """Maps a replica id to the sequence number up to which its changes are included.

    It subclasses dict so that it is encoded as a plain map, in insertion order.
    """

    __slots__ = ()

    def covers(self, dots: Iterable[tuple[str, int]]) -> bool:
        """Return whether the vector includes all of the dots."""
        return all(self.get(replica_id, 0) >= sequence for replica_id, sequence in dots)

    def merged_with(self, other: Mapping[str, int]) -> VersionVector:
        """Return the pointwise maximum of two vectors.

        The replica ids are sorted, so that all members encode equal merged vectors to
        equal bytes.
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
