"""Tests of loads while a replica has left an order unanswered, as one that is gone."""

import anyio
import testtools

from snipetrestle.coordination.placement.adapter_places import SLOW_ANSWER_S
from snipetrestle.dispatch.replica_search import NO_PLACE_PAUSE_S
from snipetrestle.gateway.configuration import AdapterKey
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.orders_fleet import MODEL, Loss, OrdersFleet

NAMES = ["entry-0", "entry-1", "entry-2"]
STARTED_WITHIN_S = 6.0
# Less than the time-out of an order.
SOON_S = 0.5
# As many as two of the three replicas have slots for.
ADAPTERS = [AdapterKey(MODEL, f"a{number}") for number in range(6)]


class UnansweredOrderTest(testtools.TestCase):
    def run_with_fleet(self, function, leads=False):
        """Runs ``function(fleet, locator)`` with the Locator of one host.

        That is the leader, or one that follows it.
        """

        async def main():
            async with OrdersFleet(NAMES, replicas=3) as fleet:
                await anyio.sleep(STARTED_WITHIN_S)
                hosts = fleet.daemons_by_name.values()
                host = next(item for item in hosts if item.leadership.leads is leads)
                await function(fleet, host.locator)

        run_in_virtual_time(main)

    @staticmethod
    async def look_up_within(locator, key, limit_s):
        with anyio.fail_after(limit_s):
            while not await locator.look_up(key):  # noqa: ASYNC110 - as hosts do
                await anyio.sleep(NO_PLACE_PAUSE_S)

    def test_lookups_do_not_wait_for_the_time_out_of_an_order(self):
        """Guards against begun streams that find a place too late for their callers."""

        async def check(fleet, locator):
            gone = fleet.replicas_by_id["replica-0"]
            gone.loss = Loss.ORDER
            async with anyio.create_task_group() as group:
                # Some of these are placed at the replica that is gone.
                for key in ADAPTERS[:4]:
                    group.start_soon(self.look_up_within, locator, key, SOON_S)
                await anyio.sleep(SLOW_ANSWER_S + 0.05)
                for key in ADAPTERS[4:]:
                    await self.look_up_within(locator, key, SOON_S)
            self.assertFalse(any(map(gone.holds, ADAPTERS)))

        self.run_with_fleet(check)

    def test_lookups_of_the_leader_itself_do_not_wait_either(self):
        """Guards against requests of the leader that wait until an order times out.

        It sends itself no second datagram, so the first question has to go on.
        """

        async def check(fleet, locator):
            fleet.replicas_by_id["replica-0"].loss = Loss.ORDER
            async with anyio.create_task_group() as group:
                for key in ADAPTERS[:4]:
                    group.start_soon(self.look_up_within, locator, key, SOON_S)

        self.run_with_fleet(check, leads=True)
