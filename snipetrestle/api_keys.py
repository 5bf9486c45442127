"""API keys: the published configuration holds only their SHA-256."""

import hashlib


def bearer_digest(authorization):
    """Returns the digest of the key in ``Authorization`` (bytes), None without one."""
    scheme, _, key = authorization.strip().partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return hashlib.sha256(key.strip()).hexdigest()
