"""Identity of a request's content, by which its repetitions are recognized.

A caller's repetition has another request id and deadline, and may reach another host.
"""

import xxhash


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
