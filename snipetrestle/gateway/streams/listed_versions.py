"""The software versions that the platform's store has listed, and until when."""

import math

import anyio

from snipetrestle.gateway.streams.stream_origin import StreamOrigin

# A replica of which neither the backend nor the version is known. Entries always name
# a backend, but not always a version.
UNKNOWN_SOFTWARE = StreamOrigin("", "")
# Of the versions of a backend that have left, those that left last are kept. Two are
# enough: if one that was dropped matters, both of these do, and no version is the only
# one.
MAX_LEFT_VERSIONS = 2
# How long versions that have left are kept. No stream can be taken up for so long.
RETENTION_S = 3600.0
# Entries may name any number of backends.
MAX_LEFT_BACKENDS = 1000


class ListedVersions:
    """What the store lists now, and what it has listed since ``covered_since``.

    That is a time of the event loop: all that was listed later is known. It is None
    before the first full read. ``gap_count`` counts the full reads, since changes
    before each of them may be missing. Times of removals are those at which this host
    learned of them, which are not earlier than the removals.
    """

    def __init__(self):
        self.covered_since = None
        self.gap_count = 0
        # When the last one left of the versions that were forgotten.
        self._forgotten_until = -math.inf
        self._software_by_id = {}
        # By backend and version the time of the last removal, in the order of times.
        self._left_at_by_backend = {}

    def note_entry(self, entry):
        """Records the ReplicaEntry that the store lists for a replica."""
        self._list(entry.id, StreamOrigin(entry.backend, entry.software_version))

    def note_unlisted(self, unlisted):
        """Records that an entry was deleted, or cannot be read.

        An entry that cannot be read may be usable for hosts of another release.
        """
        if unlisted.reason:
            self._list(unlisted.replica_id, UNKNOWN_SOFTWARE)
            return
        self.note_left(self._software_by_id.pop(unlisted.replica_id, UNKNOWN_SOFTWARE))

    def _list(self, replica_id, software):
        known = self._software_by_id.get(replica_id)
        if known == software:
            return
        self._software_by_id[replica_id] = software
        if known is not None:
            self.note_left(known)

    def note_gap(self):
        """Records that changes before this time may be missing."""
        self.covered_since = anyio.current_time()
        self.gap_count += 1

    def extend(self, since):
        """Records that all that was listed after an earlier time is known, too."""
        self.covered_since = min(self.covered_since, since)

    def note_left(self, software):
        """Records the StreamOrigin of a replica that was listed until now at most."""
        now = anyio.current_time()
        left_at_by_version = self._left_at_by_backend.pop(software.backend, {})
        self._left_at_by_backend[software.backend] = left_at_by_version
        left_at_by_version.pop(software.version, None)
        left_at_by_version[software.version] = now
        if len(left_at_by_version) > MAX_LEFT_VERSIONS:
            del left_at_by_version[next(iter(left_at_by_version))]
        self._forget_old(now)

    def _forget_old(self, now):
        """Forgets the backends whose last removals are the oldest."""
        while True:
            backend = next(iter(self._left_at_by_backend))
            left_at = max(self._left_at_by_backend[backend].values())
            is_old = now - left_at > RETENTION_S
            if not is_old and len(self._left_at_by_backend) <= MAX_LEFT_BACKENDS:
                return
            del self._left_at_by_backend[backend]
            self._forgotten_until = max(self._forgotten_until, left_at)

    def covers(self, since):
        """Whether all is known that was listed at a time or later."""
        if self.covered_since is None:
            return False
        return max(self.covered_since, self._forgotten_until) < since

    def versions(self, backend, since):
        """Returns the known versions of a backend that were listed at a time or later.

        The set has an empty text for a replica whose version is not known.
        """
        software = set(self._software_by_id.values())
        for name in (backend, UNKNOWN_SOFTWARE.backend):
            software.update(
                StreamOrigin(name, version)
                for version, left_at in self._left_at_by_backend.get(name, {}).items()
                if left_at >= since
            )
        return {
            item.version
            for item in software
            if item.backend in (backend, UNKNOWN_SOFTWARE.backend)
        }
