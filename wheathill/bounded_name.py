"""Names that peers choose, in a form of bounded length that can be remembered."""

import hashlib

# In characters; longer than the names that correct clients use.
MAX_NAME_LENGTH = 64
DIGEST_BYTES = 16
DIGEST_PREFIX = "blake2b:"


def bounded_name(name: str) -> str:
    """Return a name as it is, or a digest of a long one.

    Many names are remembered, and a peer may make each as long as a line. Digests are
    the same in each process.
    """
    if len(name) <= MAX_NAME_LENGTH:
        return name
    digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES)
    return DIGEST_PREFIX + digest.hexdigest()
