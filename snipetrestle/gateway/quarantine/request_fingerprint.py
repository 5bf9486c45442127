"""Identity of a request's content, by which its repetitions are recognized.

A caller's repetition has another request id and deadline, and may reach another host.
"""

import xxhash

# Ids of prompt parts are kept as they are up to this length, that of a digest.
MAX_PART_KEY_LENGTH = 16
# Longer lists of prompt parts are cut off, since hosts keep and exchange them.
MAX_PROMPT_PARTS = 32


def request_fingerprint(request, metadata):
    """Returns a hash of what makes a replica's work on a request the same.

    These are hostname, method, target, model, shared prompt parts and body. The parts
    tell apart callers whose requests are otherwise equal.
    """
    adapter = metadata.adapter
    fields = (
        request.hostname,
        request.method.decode("latin-1"),
        request.target.decode("latin-1"),
        "" if adapter is None else f"{adapter.model}/{adapter.adapter}",
        *metadata.shared_prompt_parts,
    )
    digest = xxhash.xxh3_64("\0".join(fields).encode())
    digest.update(b"\0\0")
    digest.update(request.body)
    return digest.hexdigest()


def prompt_part_key(part_id):
    """Returns a short key of a prompt part, whose id may have any length.

    Hosts keep many keys and send them to each other.
    """
    if len(part_id) <= MAX_PART_KEY_LENGTH:
        return part_id
    return xxhash.xxh3_64_hexdigest(part_id.encode())
