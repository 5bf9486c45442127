"""Tests of the choice of free ports for stand-ins."""

import random

import testtools

from snipetrestle_standins import ports


class FreePortTest(testtools.TestCase):
    def test_port_is_not_returned_again_before_it_is_bound(self):
        """A soak run gave a gateway one port for its callers and for its peers (seed
        1161106029): ports are chosen first and bound later."""
        self.patch(ports, "_random", random.Random(1))
        first = [ports.free_port() for _ in range(20)]
        self.patch(ports, "_random", random.Random(1))
        second = [ports.free_port() for _ in range(20)]
        self.assertEqual(40, len({*first, *second}))
