"""API keys. The published configuration contains only their SHA-256 digests."""

import hashlib


def bearer_digest(authorization):
    """Returns the SHA-256 of the key in an ``Authorization`` header (bytes).

    Returns None for a header that is empty or of another scheme than Bearer.
    """
    scheme, _, key = authorization.strip().partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return hashlib.sha256(key.strip()).hexdigest()
