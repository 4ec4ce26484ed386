"""Validation of the stored form of entries; failures raise `MalformedEntryError`."""

from wheathill.store.errors import MalformedEntryError
from wheathill.store.version_vector import VersionVector

MALFORMED_ENTRY = "malformed store entry"


def decode_vector(encoded: object) -> VersionVector:
    """Decode a version vector from its stored form."""
    if not isinstance(encoded, dict):
        raise MalformedEntryError(MALFORMED_ENTRY)
    require(all(isinstance(sequence, int) for sequence in encoded.values()))
    return VersionVector(encoded)


def require_field_count(encoded: object, count: int) -> None:
    """Raise unless the data is a list of `count` fields."""
    require(isinstance(encoded, list) and len(encoded) == count)


def require(is_well_formed: bool) -> None:
    """Raise unless the data is well formed."""
    if not is_well_formed:
        raise MalformedEntryError(MALFORMED_ENTRY)
