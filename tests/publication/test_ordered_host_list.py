"""Tests of host lists that arrive late or were restored from a copy."""

import anyio
import testtools

from snipetrestle.publication.backend_hosts import BackendHosts
from snipetrestle.publication.ordered_host_list import (
    RESTORED_AFTER_READS,
    OrderedHostList,
)
from snipetrestle.publication.sources import Host, HostList, HostState


def host_list(revision, state):
    host = Host("backend-1", "127.0.0.1:1", "zone-1", role="backend", state=state)
    return HostList(revision, (host,))


class Source:
    """Returns the HostList ``current``."""

    def __init__(self, current):
        self.current = current

    async def read(self, known_revision=0):
        return None if self.current.revision == known_revision else self.current


class OrderedHostListTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.source = Source(host_list(8, HostState.LEAVING))
        self.hosts = BackendHosts(OrderedHostList(self.source))
        self.read()

    def read(self):
        return anyio.run(self.hosts.read)

    def test_late_list_does_not_make_a_leaving_server_live_again(self):
        """A replica of the service that is behind would bring it new work."""
        late, newest = host_list(7, HostState.LIVE), self.source.current
        for _ in range(3):
            self.source.current = late
            for _ in range(RESTORED_AFTER_READS - 1):
                self.assertIsNone(self.read())
                self.assertTrue(self.hosts.is_leaving("backend-1"))
            self.source.current = newest
            self.read()

    def test_restored_list_is_followed(self):
        """Changes were ignored until the old revision was reached again."""
        self.source.current = host_list(3, HostState.LIVE)
        readings = [self.read() for _ in range(RESTORED_AFTER_READS)]
        self.assertEqual(3, readings[-1].revision)
        self.assertFalse(self.hosts.is_leaving("backend-1"))
        self.source.current = host_list(4, HostState.LEAVING)
        self.read()
        self.assertTrue(self.hosts.is_leaving("backend-1"))
