"""Checks of the stored form of entries; all raise `MalformedEntryError`."""

from wheathill.store.errors import MalformedEntryError
from wheathill.store.version_vector import VersionVector

NO_ENTRY = "no entry of the store"


def decode_vector(encoded: object) -> VersionVector:
    """Return the version vector of its stored form."""
    if not isinstance(encoded, dict):
        raise MalformedEntryError(NO_ENTRY)
    check(all(isinstance(sequence, int) for sequence in encoded.values()))
    return VersionVector(encoded)


def check_fields(encoded: object, count: int) -> None:
    """Raise unless the data is a list of that many fields."""
    check(isinstance(encoded, list) and len(encoded) == count)


def check(is_well_formed: bool) -> None:
    """Raise unless a condition on the data holds."""
    if not is_well_formed:
        raise MalformedEntryError(NO_ENTRY)
