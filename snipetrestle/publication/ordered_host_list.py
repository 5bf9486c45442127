"""Drops host lists that arrive late, but follows a list that was restored from a copy."""

from snipetrestle.events import Event, log_event

# An older list counts as restored, not as late, if this many reads in a row return it.
RESTORED_AFTER_READS = 5


class OrderedHostList:
    """A HostListSource over another one.

    Replicas of the platform's service may be behind, so a list with a lower revision
    than the newest known one is dropped at first.
    """

    def __init__(self, source):
        self._source = source
        self._revision = 0
        self._older_reads = 0

    async def read(self, known_revision=0):
        """Returns the HostList; None if it is the known one, or late.

        Raises SourceUnreachable.
        """
        hosts = await self._source.read(known_revision)
        if hosts is None or hosts.revision == self._revision:
            self._older_reads = 0
            return hosts
        if hosts.revision < self._revision and not self._is_restored(hosts):
            return None
        self._older_reads = 0
        self._revision = hosts.revision
        return hosts

    def _is_restored(self, hosts):
        self._older_reads += 1
        if self._older_reads < RESTORED_AFTER_READS:
            return False
        log_event(
            Event.HOST_LIST_RESTORED,
            revision=hosts.revision,
            known_revision=self._revision,
        )
        return True
