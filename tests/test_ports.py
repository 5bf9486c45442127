"""Tests of the choice of free ports for stand-ins."""

import random
import socket
import subprocess
import sys

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

    def test_port_that_a_process_uses_on_another_address_is_not_returned(self):
        """A gateway process at 127.0.0.2 ended at its start, since a process of another
        run had its port; that one answered the readiness probes of the test."""
        seeded = random.Random(2)
        port = seeded.randrange(*ports.PORT_RANGE)
        self.patch(ports, "_random", random.Random(2))
        with socket.socket() as other:
            other.bind(("127.0.0.2", port))
            self.assertNotEqual(port, ports.free_port())

    def test_port_is_not_returned_to_another_run_before_it_is_bound(self):
        """A gateway did not start, since another run had chosen its port as well and
        had bound it first."""
        self.patch(ports, "_random", random.Random(3))
        port = ports.free_port()
        choose = (
            "import random; from snipetrestle_standins import ports; "
            "ports._random = random.Random(3); print(ports.free_port())"
        )
        result = subprocess.run(
            [sys.executable, "-c", choose], capture_output=True, text=True, check=True
        )
        self.assertNotEqual(port, int(result.stdout))
