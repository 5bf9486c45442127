"""Tests of gateways whose store loses its newest changes and continues from a copy."""

import anyio
import testtools

from snipetrestle_standins.gateway_fleet import configuration, route
from tests.gateway.running import run_fleet
from tests.waiting import wait_until

# Time within which the settings of the fleet require a change to be in force.
APPLY_TIME_S = 2.0
# Changes that are lost in a restore, so that revisions are given out again for long.
LOST_CHANGES = 30


async def wait_for_version(gateways, version):
    """Fails unless all gateways have a configuration version within APPLY_TIME_S."""
    with anyio.fail_after(APPLY_TIME_S):
        await wait_until(
            lambda: all(
                item.state.configuration.version == version for item in gateways
            )
        )


def write_lost_changes(fleet):
    for number in range(LOST_CHANGES):
        fleet.store.put(f"op/other-{number}", b"1")


def ready_ids(gateway, backend="register"):
    return {replica.id for replica in gateway.replicas.ready_replicas(backend)}


class RestoredStoreTest(testtools.TestCase):
    def test_change_after_a_restore_takes_effect(self):
        """Hosts ignored all content below their old revision, some of it for ever."""

        async def check(fleet):
            copy = fleet.store.copy()
            write_lost_changes(fleet)
            fleet.store.put("op/config", configuration(5))
            await wait_for_version(fleet.live, 5)
            fleet.store.restore(copy)
            fleet.store.put("op/config", configuration(5))
            routes = [route("new", "idempotent", "register")]
            fleet.store.put("op/config", configuration(7, routes))
            fleet.publish(fleet.registers[0], state="draining")
            await wait_for_version(fleet.live, 7)
            for gateway in fleet.live:
                answer = await fleet.send_request("/new/a", gateway, method="GET")
                self.assertEqual(200, answer.status)
                self.assertEqual({fleet.registers[1].id}, ready_ids(gateway))

        run_fleet(check, gateways=2)
