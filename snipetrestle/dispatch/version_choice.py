"""Chooses where streams begin while the replicas of a backend run several versions.

In a release the replicas of the old version leave one after the other. A stream that
began at one of the last goes on nowhere once they have left, so it is better begun at
another version.
"""

import collections

# A version with fewer replicas that take requests may be about to leave, and so many of
# another version can carry on each other's streams.
MIN_STAYING_REPLICAS = 2


def prefer_staying(candidates, replicas, versions_left, now):
    """Returns the candidates at which a stream should begin.

    These are the candidates of versions that do not leave if one of them has room, else
    all. ``replicas`` are the listed Replicas of the backend, ``versions_left`` the
    versions of those that have left the list a short time ago. ``now`` is the time of
    the event loop.
    """
    if len({item.entry.software_version for item in candidates}) < 2:
        return candidates
    leaving = leaving_versions(replicas, versions_left)
    if not leaving:
        return candidates
    others = [item for item in candidates if item.entry.software_version not in leaving]
    return others if any(_has_room(item, now) for item in others) else candidates


def leaving_versions(replicas, versions_left):
    """Returns the versions whose last replicas leave, while those of another stay.

    An unknown version never leaves, and none leaves for it: streams that begin at a
    replica of an unknown version go on nowhere else.
    """
    taking = collections.Counter()
    losing = set(versions_left)
    for replica in replicas:
        if replica.takes_requests:
            taking[replica.entry.software_version] += 1
        else:
            losing.add(replica.entry.software_version)
    del taking[""]
    staying = {item for item in taking if taking[item] >= MIN_STAYING_REPLICAS}
    return losing - staying - {""} if staying else set()


def _has_room(replica, now):
    """Whether a replica takes one more stream at once, as far as this host knows.

    An entry without slots does not tell how many streams the replica runs.
    """
    slots = replica.entry.slots
    return (
        replica.is_available
        and replica.suspected_until <= now
        and not replica.request_limit.is_limited
        and (not slots or replica.load < slots)
    )
