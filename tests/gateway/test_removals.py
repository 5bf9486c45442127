"""Tests that a removed replica gets no more requests, whatever the store's answers do."""

import anyio
import testtools

from snipetrestle.coordination.messaging.messages import StoreAccess
from snipetrestle.events import Event
from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.publication.published_items import (
    PublishedItem,
    StoreItems,
    Way,
)
from snipetrestle.gateway.publication.replica_entries import STORE_RETURN_GRACE_S
from snipetrestle_standins.gateway_fleet import ENTRY_EXPIRY_S
from snipetrestle_standins.platform_store import StoreMode
from tests.gateway.log_recording import LogRecordingTest
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

REMOVED = "register-0"
KEY = f"servers/{REMOVED}"
REPORT_INTERVAL_S = 0.05


def lists_removed(gateway):
    return REMOVED in gateway.replicas.by_id


async def wait_until_read(fleet):
    """Waits until all gateways have read the store to its end."""
    for gateway in fleet.live:
        feed = gateway.state.feeds[""]
        await wait_until(
            lambda feed=feed: feed.reachable and feed.revision >= fleet.store.revision
        )


async def cut_off(fleet, gateway, duration_s, publishes):
    """Cuts a gateway off from the store for a while, in which a replica may write."""
    fleet.publish(fleet.registers[1])
    await wait_until_read(fleet)
    fleet.cut_off_from_store.add(gateway.settings.name)
    lost_at = None
    while lost_at is None or anyio.current_time() < lost_at + duration_s:
        if publishes:
            fleet.publish(fleet.registers[1])
        await anyio.sleep(REPORT_INTERVAL_S)
        if lost_at is None and gateway.state.is_unreachable(""):
            lost_at = anyio.current_time()
    fleet.cut_off_from_store.clear()
    await wait_until_read(fleet)


class RemovalTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_late_answer_lists_no_removed_replica_again(self, fleet):
        """Nothing is known of a deleted key, so an answer that was held up put its entry
        back: the host sent requests to the replica until its own end."""
        gateway = fleet.live[0]
        feed = gateway.state.feeds[""]
        fleet.publish(fleet.registers[0])
        await wait_until_read(fleet)
        entry = feed.items_by_key[KEY]
        fleet.store.delete(KEY)
        await wait_until(lambda: not lists_removed(gateway))
        late = StoreItems([entry], entry.revision, feed.epoch)
        gateway.state.apply_changes("", late, "entry-1")
        self.assertFalse(lists_removed(gateway))
        fleet.publish(fleet.registers[0])
        await wait_until(lambda: lists_removed(gateway))

    @with_system(run_fleet, gateways=3)
    async def test_start_of_hosts_puts_no_removal_off(self, fleet):
        """Each host took its own start for the end of an outage, and a leader told all
        others: after planned stops they sent requests to removed replicas."""
        fleet.store.delete(KEY)
        await wait_until_read(fleet)
        self.assertEqual([False] * 3, [lists_removed(item) for item in fleet.live])

    def check_removal_after(self, duration_s, publishes=True):
        """Cuts the leader off, and checks that removals are not put off afterwards.

        ``publishes`` tells whether a replica writes its entry again and again.
        """

        async def check(fleet):
            # The start of the gateways must not count as a return of the store.
            await anyio.sleep(STORE_RETURN_GRACE_S)
            (leader,) = fleet.leaders()
            await cut_off(fleet, leader, duration_s, publishes)
            fleet.store.delete(KEY)
            await wait_until_read(fleet)
            others = [gateway for gateway in fleet.live if gateway is not leader]
            self.assertEqual([False] * 2, [lists_removed(item) for item in others])
            # The leader may not have heard yet that the store has answered the others.
            with anyio.fail_after(STORE_RETURN_GRACE_S / 2):
                await wait_until(lambda: not lists_removed(leader))

        run_fleet(check, gateways=3)

    def test_loss_of_the_store_by_one_host_puts_no_removal_off(self):
        """All hosts took it for an outage of the store, after which entries come back:
        they sent requests to removed replicas for 2.2 s more."""
        self.check_removal_after(2 * ENTRY_EXPIRY_S)

    def test_loss_of_the_store_without_news_puts_no_removal_off(self):
        """The same if no entry changed meanwhile: no news was taken for no store."""
        self.check_removal_after(2 * ENTRY_EXPIRY_S, publishes=False)

    @with_system(run_fleet, gateways=3)
    async def test_word_of_one_host_puts_no_removal_of_others_off(self, fleet):
        """The leader passed its own loss of the store on as an outage, and hosts that
        the store had answered all the time believed it: review/7."""
        await anyio.sleep(STORE_RETURN_GRACE_S)
        (leader,) = fleet.leaders()
        others = [gateway for gateway in fleet.live if gateway is not leader]
        await cut_off(fleet, leader, 2 * ENTRY_EXPIRY_S, publishes=False)
        # So that the others learn of the removal from the leader only.
        fleet.cut_off_from_store.update(item.settings.name for item in others)
        fleet.store.delete(KEY)
        with anyio.fail_after(STORE_RETURN_GRACE_S / 2):
            await wait_until(lambda: not any(map(lists_removed, others)))

    def test_failed_call_puts_no_removal_off(self):
        """No entry expires in so short a time."""
        self.check_removal_after(0.0)


class LeavingBeforeSendingTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_request_is_not_sent_to_a_replica_that_left_while_connecting(
        self, fleet
    ):
        """Opening a connection takes up to 0.4 s, in which the replica may leave."""
        gateway = fleet.live[0]
        by_id = gateway.replicas.by_id
        replica_by_pool = {by_id[item.id].pool: item for item in fleet.registers}
        open_connection = ConnectionPool._open
        opened = []
        may_return = anyio.Event()

        async def open_slowly(pool):
            connection = await open_connection(pool)
            if pool in replica_by_pool:
                opened.append(replica_by_pool[pool])
                await may_return.wait()
            return connection

        self.patch(ConnectionPool, "_open", open_slowly)
        async with anyio.create_task_group() as group:
            answers = []

            async def send():
                answers.append(await fleet.send_request("/entry/a", gateway))

            group.start_soon(send)
            await wait_until(lambda: opened)
            leaving = opened[0]
            gateway.replicas.unlist(leaving.id)
            may_return.set()
        self.assertEqual([200], [answer.status for answer in answers])
        self.assertEqual([], leaving.arrived_requests)


class RemovalLinesTest(LogRecordingTest):
    def removal(self):
        """Returns the fields of the only line about a removal."""
        (fields,) = self.logged(Event.REPLICA_REMOVED)
        self.assertEqual(REMOVED, fields["replica"])
        return fields

    @with_system(run_fleet)
    async def test_line_names_the_own_watch(self, fleet):
        """Logs did not tell how a host had learned of a removal."""
        await anyio.sleep(STORE_RETURN_GRACE_S)
        fleet.store.delete(KEY)
        await wait_until(lambda: not lists_removed(fleet.live[0]))
        fields = self.removal()
        self.assertEqual(str(Way.WATCH), fields["way"])
        self.assertEqual(fleet.store.revision, fields["revision"])
        self.assertEqual(0.0, fields["put_off_s"])

    @with_system(run_fleet)
    async def test_line_names_the_full_read(self, fleet):
        """The same for a removal that no answer to a watch contained."""
        feed = fleet.live[0].state.feeds[""]
        await wait_until_read(fleet)
        fleet.store.mode = StoreMode.RESET
        fleet.store.reset_connections()
        await wait_until(lambda: not feed.reachable)
        fleet.store.delete(KEY)
        fleet.store.compact_history()
        fleet.store.mode = StoreMode.UP
        await wait_until(lambda: not lists_removed(fleet.live[0]))
        self.assertEqual(str(Way.READ), self.removal()["way"])

    @with_system(run_fleet)
    async def test_line_names_the_host_that_noted_an_outage(self, fleet):
        """Logs did not tell on whose word a host kept a removed replica."""
        gateway = fleet.live[0]
        feed = gateway.state.feeds[""]
        await wait_until_read(fleet)
        revision = feed.revision + 1
        removal = StoreItems([PublishedItem(KEY, revision, None)], revision, feed.epoch)
        # The start of the gateway is no outage.
        access = StoreAccess(500, 500, 10_000)
        gateway.state.availability.note_access("entry-7", access)
        gateway.state.apply_changes("", removal, "entry-7")
        fields = self.removal()
        self.assertEqual(str(Way.PASSED_ON), fields["way"])
        self.assertEqual("entry-7", fields["from_host"])
        self.assertEqual("entry-7", fields["outage_noted_by"])
        returned_at = gateway.state.availability.latest_outage.ended_at
        put_off_s = returned_at + STORE_RETURN_GRACE_S - anyio.current_time()
        self.assertAlmostEqual(put_off_s, fields["put_off_s"], delta=0.1)
        self.assertGreater(put_off_s, 1.0)
