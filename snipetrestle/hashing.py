"""Rendezvous hashing, weighted and, for roles of the gateways' hosts, unweighted.

Each (key, member) pair has a score, and a key is assigned to the member with the
highest score. When a member disappears, only the keys that were assigned to it move
(D. Thaler and C. V. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
1998). Weights are applied by the logarithmic method.
"""

import functools
import heapq
import math

import xxhash

# Scores use 53 bits of the hash, the precision of a float.
_HASH_BITS = 53


def score(key, member, weight=1.0):
    """Returns the rendezvous score of a member for a key."""
    digest = xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode()) >> (64 - _HASH_BITS)
    fraction = (digest + 1) / (2**_HASH_BITS + 1)
    return -weight / math.log(fraction)


def rendezvous_order(key, weights_by_member, count=None):
    """Returns the ``count`` members (default: all) of highest score, best first."""
    if count is None:
        count = len(weights_by_member)
    return heapq.nlargest(
        count,
        weights_by_member,
        key=lambda member: (score(key, member, weights_by_member[member]), member),
    )


def rendezvous_first(key, weights_by_member):
    """Returns the member with the highest score, or None without members."""
    order = rendezvous_order(key, weights_by_member, 1)
    return order[0] if order else None


def host_score(key, host_name):
    """Returns the unweighted score of a host for a key.

    Hosts of earlier and later builds must compute the same one to choose the same host.
    """
    return xxhash.xxh64_intdigest(f"{key} {host_name}".encode())


def best_host(key, host_names):
    """Returns the name of the host with the highest score, or None without hosts."""
    return max(host_names, key=functools.partial(host_score, key), default=None)


def best_hosts(key, host_names, count):
    """Returns the names of the ``count`` hosts of highest score, best first."""
    return heapq.nlargest(count, host_names, functools.partial(host_score, key))
