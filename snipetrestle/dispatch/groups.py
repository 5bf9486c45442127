"""Divides the replicas of a backend into groups, in the same way on all hosts."""

# Bounds the work of the host that decides about a group.
MAX_GROUP_SIZE = 4


def replica_groups(sorted_ids):
    """Returns the groups, of nearly equal sizes, as tuples of ids.

    ``sorted_ids`` are the ids of all listed replicas of a backend, whatever their
    state, so that a restart or a drain moves no replica to another group.
    """
    count = -(-len(sorted_ids) // MAX_GROUP_SIZE)
    if not count:
        return []
    bounds = [number * len(sorted_ids) // count for number in range(count + 1)]
    return [
        tuple(sorted_ids[start:end])
        for start, end in zip(bounds, bounds[1:], strict=False)
    ]


def group_key(backend, group):
    """Returns the key of a group for KeyOwners."""
    return f"{backend} {group}"
