"""Tests of what hosts fetch from each other while the store is late or away."""

import anyio
import testtools

from snipetrestle.gateway.publication.published_items import StoreItems
from snipetrestle.gateway.publication.snapshots import Content, pack_content
from snipetrestle_standins.gateway_fleet import MODELS_BACKEND, configuration, route
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

# Time within which the settings of the fleet require a change to be in force, and the
# part of it that is left to a host when others have the change.
APPLY_TIME_S = 2.0
MAX_LAG_S = APPLY_TIME_S / 2
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

    def test_configuration_that_the_store_brings_late_is_fetched_in_time(self):
        """A host whose answer from the store takes long had it 2 s after the others."""

        async def check(fleet):
            late = fleet.live[1]

            async def answer_late(*arguments):
                await anyio.sleep(10 * APPLY_TIME_S)
                return StoreItems([], 0, 0)

            late.state._source.watch = answer_late
            # The watch that has begun before ends within the fleet's 0.5 s.
            await anyio.sleep(0.6)
            fleet.store.put("op/config", large_configuration(2))
            first = fleet.live[0]
            await wait_until(lambda: first.state.configuration.version == 2)
            with anyio.fail_after(MAX_LAG_S):
                await wait_until(lambda: late.state.configuration.version == 2)

        run_fleet(check, gateways=3)
