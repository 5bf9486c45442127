"""Tests of what hosts fetch from each other while the store is late or away."""

import testtools

from snipetrestle.gateway.snapshots import Content, pack_content
from snipetrestle_standins.gateway_fleet import MODELS_BACKEND, configuration, route
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

ROUTES = 1600
# The slowest link of a host in the grown deployments, and the part of the time to apply
# a configuration that its transfer may take there.
SLOW_LINK_BYTES_PER_S = 10e6 / 8
MAX_TRANSFER_S = 0.2


def large_configuration(version):
    return configuration(
        version,
        [
            route(f"route-{number}", "stream", MODELS_BACKEND, resumable=True)
            for number in range(ROUTES)
        ],
    )


class SnapshotTest(testtools.TestCase):
    def test_large_configuration_crosses_a_slow_link_in_time(self):
        """Hosts with slow links had 1,600 routes 3.5 s after the first host."""

        async def check(fleet):
            fleet.store.put("op/config", large_configuration(2))
            state = fleet.live[0].state
            await wait_until(lambda: state.configuration.version == 2)
            documents = list(state.documents.items_by_key.values())
            size_bytes = len(pack_content(Content(0, [], 0, documents)))
            self.assertLess(size_bytes / SLOW_LINK_BYTES_PER_S, MAX_TRANSFER_S)

        run_fleet(check)
