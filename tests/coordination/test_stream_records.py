"""Tests of the records of the origins of streams, on a simulated clock and network."""

import itertools
import random

import anyio
import anyio.lowlevel
import msgspec
import testtools

from snipetrestle.coordination.membership.hosts import FORGET_TIMEOUT_S, KnownHost
from snipetrestle.coordination.messaging.datagram_requests import ANSWER_TIMEOUT_S
from snipetrestle.coordination.messaging.messages import (
    HostInfo,
    OriginReply,
    OriginRequest,
    StreamBegun,
    decode,
    encode,
)
from snipetrestle.coordination.streams.stream_keepers import (
    PLACES,
    SLOTS,
    StreamKeepers,
)
from snipetrestle.coordination.streams.stream_questions import MAX_QUESTIONS, MAX_SENDS
from snipetrestle.coordination.streams.stream_records import (
    KEEPERS_ASKED,
    KEEPERS_TOLD,
    MAX_LIFE_S,
    MAX_OWN_RECORDS,
    MAX_TOLD_RECORDS,
    KnownOrigin,
    StreamRecords,
)
from snipetrestle.gateway.streams.stream_origin import StreamOrigin, stream_key
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import (
    DELIVERY_DELAY_S,
    DatagramNetwork,
    LocalEndpoint,
)
from tests.coordination.test_leadership import run_system
from tests.systems import with_system

LIFE_S = 60.0
QUESTION_S = MAX_SENDS * ANSWER_TIMEOUT_S
# Longer than a datagram and its answer take on the simulated network.
ROUND_TRIP_S = 0.005
ORIGIN = StreamOrigin("vllm", "1.4.2", "r1", 5)
OTHER_ORIGIN = StreamOrigin("vllm", "1.5.0", "r2", 5)


def key_of(number):
    return stream_key(b"request-%d" % number, "fingerprint", "tenant-1")


KEY = key_of(0)


def slot_key(slot):
    return slot.to_bytes(4, "big") + bytes(12)


def infos_of(count, domains, first=1):
    return [
        HostInfo(f"h{number}", 1, "127.0.0.1", number, f"zone-{number % domains}", 1.0)
        for number in range(first, first + count)
    ]


class KnownHosts:
    """Fake Hosts; ``learn`` sets all hosts that are known."""

    def __init__(self, own, infos):
        self.own = own
        self.learn(infos)

    def learn(self, infos):
        self.by_name = {
            info.name: KnownHost(info, 0.0)
            for info in infos
            if info.name != self.own.name
        }
        self.names = tuple(sorted([self.own.name, *self.by_name]))
        self.members_digest = hash(tuple(sorted((i.name, i.boot) for i in infos)))

    def sender_names(self):
        return self.names


class Host:
    """A host of a fleet with its records."""

    def __init__(self, network, info, infos):
        self.name = info.name
        self.info = info
        self.hosts = KnownHosts(info, infos)
        self.endpoint = LocalEndpoint(network, info.name, (info.ip, info.port))
        self.records = StreamRecords(self.hosts, self.endpoint)

    def keepers(self, key, count=KEEPERS_TOLD):
        """Returns the names of the hosts that this one tells of a stream."""
        others = StreamKeepers(self.hosts).others(key, count)
        return [host.info.name for host in others]


class Fleet:
    """Hosts that all know each other, in three failure domains."""

    def __init__(self, network, count):
        self.network = network
        self.by_name = {}
        infos = infos_of(count, 3)
        for info in infos:
            self.by_name[info.name] = Host(network, info, infos)

    def _learn(self):
        infos = [host.info for host in self.by_name.values()]
        for host in self.by_name.values():
            host.hosts.learn(infos)

    def join(self, info):
        self.by_name[info.name] = Host(self.network, info, [info])
        self._learn()

    def kill(self, name):
        """Ends a host; the others still know it."""
        self.by_name[name].endpoint.up = False

    def remove(self, name):
        """Ends a host, and the others forget it."""
        self.kill(name)
        del self.by_name[name]
        self._learn()

    def hosts_of(self, key):
        """Returns a host to begin a stream, its keepers and the other hosts."""
        first = self.by_name["h1"]
        names = first.keepers(key)
        keepers = [self.by_name[name] for name in names]
        others = [
            host
            for host in self.by_name.values()
            if host is not first and host.name not in names
        ]
        return first, keepers, others

    async def begin_stream(self):
        """Begins the stream KEY and waits until its keepers know it; as hosts_of."""
        hosts = self.hosts_of(KEY)
        hosts[0].records.note_begun(KEY, ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        return hosts

    def sent(self, message_type):
        return self.network.datagrams_by_type[message_type]


def run_fleet(function, count=6):
    """Runs ``function(fleet)`` in virtual time."""

    async def main():
        network = DatagramNetwork()
        async with anyio.create_task_group() as group:
            network.task_group = group
            await function(Fleet(network, count))
            group.cancel_scope.cancel()

    run_in_virtual_time(main)


class KeepersTest(testtools.TestCase):
    def names(self, infos, key, own=None, count=KEEPERS_ASKED):
        own = own or HostInfo("other", 1, "127.0.0.1", 999, "zone-0", 1.0)
        keepers = StreamKeepers(KnownHosts(own, infos))
        return [host.info.name for host in keepers.others(key, count)]

    def test_keepers_are_in_different_failure_domains_first(self):
        """A failure domain that fails could take all who know of a stream."""
        for domains in (1, 2, 3, 6):
            infos = infos_of(12, domains)
            domain_by_name = {info.name: info.failure_domain for info in infos}
            # The own host is one of them, so it takes no place in a domain of others.
            keepers = StreamKeepers(KnownHosts(infos[0], infos))
            for slot in range(SLOTS):
                order = keepers._order(slot_key(slot))
                self.assertEqual(PLACES, len(set(order)))
                chosen = [domain_by_name[name] for name in order]
                for start in range(0, PLACES, domains):
                    turn = chosen[start : start + domains]
                    self.assertEqual(len(turn), len(set(turn)))

    def test_all_hosts_choose_the_same_keepers(self):
        """A host that asks others than those that were told finds nothing."""
        infos = infos_of(12, 3)
        orders = [StreamKeepers(KnownHosts(own, infos))._order for own in infos]
        for slot in range(SLOTS):
            key = slot_key(slot)
            self.assertEqual(1, len({order(key) for order in orders}))

    def test_keepers_are_spread_over_all_hosts(self):
        """A few hosts would get the messages of all, and drop records of others."""
        for domains in (3, 6):
            infos = infos_of(30, domains)
            counts = dict.fromkeys((info.name for info in infos), 0)
            for number in range(3000):
                for name in self.names(infos, key_of(number), count=KEEPERS_TOLD):
                    counts[name] += 1
            mean = KEEPERS_TOLD * 3000 / 30
            self.assertLess(max(counts.values()), 1.5 * mean)
            self.assertGreater(min(counts.values()), 0.5 * mean)

    def check_change(self, before, after, rng, slots):
        """Checks that two of three told keepers know of a stream after a change."""
        first = rng.choice(before)
        asking = rng.choice(after)
        told_by = StreamKeepers(KnownHosts(first, before))
        asked_by = StreamKeepers(KnownHosts(asking, after))
        for slot in slots:
            key = slot_key(slot)
            told = {host.info.name for host in told_by.others(key, KEEPERS_TOLD)}
            asked = {host.info.name for host in asked_by.others(key, KEEPERS_ASKED)}
            self.assertEqual(KEEPERS_TOLD, len(told))
            # A host that was told itself need not ask.
            self.assertGreaterEqual(len(told & {asking.name, *asked}), 2, key)

    def test_two_told_keepers_stay_when_a_host_joins_or_leaves(self):
        """A change of the hosts could make the streams of that moment unknown."""
        rng = random.Random(1)
        for count, domains in itertools.product((6, 7, 12, 30), (1, 2, 3, 4, 6)):
            infos = infos_of(count, domains)
            for number, info in enumerate(infos):
                others = [item for item in infos if item is not info]
                slots = range(number, SLOTS, 8)
                self.check_change(infos, others, rng, slots)
                if count > 6:
                    self.check_change(others, infos, rng, slots)

    def test_two_told_keepers_stay_when_a_domain_joins_or_leaves(self):
        """The same for a host that is the only one of its failure domain."""
        rng = random.Random(2)
        for domains in (1, 2, 3, 4):
            infos = infos_of(9, domains)
            single = HostInfo("new", 1, "127.0.0.1", 500, "zone-new", 1.0)
            for _ in range(10):
                self.check_change(infos, [*infos, single], rng, range(SLOTS))
                self.check_change([*infos, single], infos, rng, range(SLOTS))

    def test_host_that_starts_again_in_another_domain_is_ranked_anew(self):
        """Two hosts that kept different orders would choose different keepers."""
        infos = infos_of(6, 3)
        hosts = KnownHosts(infos[0], infos)
        keepers = StreamKeepers(hosts)
        for slot in range(SLOTS):
            keepers.others(slot_key(slot), 1)
        moved = msgspec.structs.replace(infos[1], boot=2, failure_domain="zone-new")
        changed = [infos[0], moved, *infos[2:]]
        hosts.learn(changed)
        fresh = StreamKeepers(KnownHosts(infos[0], changed))
        for slot in range(SLOTS):
            key = slot_key(slot)
            self.assertEqual(fresh._order(key), keepers._order(key))


class FindTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_own_record_is_found_without_a_question(self, fleet):
        """The host that began a stream would depend on others for its own streams."""
        first = fleet.by_name["h1"]
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        known = await first.records.find(KEY)
        self.assertEqual(KnownOrigin(ORIGIN, "own"), known)
        self.assertEqual(0, fleet.sent(OriginRequest))

    @with_system(run_fleet)
    async def test_keepers_are_told_before_the_caller_is(self, fleet):
        """A caller could take a stream up before any other host knows of it."""
        first, keepers, _ = fleet.hosts_of(KEY)
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        self.assertEqual(KEEPERS_TOLD, fleet.sent(StreamBegun))
        await anyio.sleep(ROUND_TRIP_S)
        for keeper in keepers:
            self.assertEqual(
                KnownOrigin(ORIGIN, "host h1"), await keeper.records.find(KEY)
            )
        self.assertEqual(0, fleet.sent(OriginRequest))

    @with_system(run_fleet)
    async def test_learned_origin_is_found_and_not_told(self, fleet):
        """Each host that learns an origin would send it to all keepers again."""
        first = fleet.by_name["h1"]
        first.records.note_learned(KEY, ORIGIN, LIFE_S)
        known = await first.records.find(KEY)
        self.assertEqual(KnownOrigin(ORIGIN, "own"), known)
        self.assertEqual(0, fleet.sent(StreamBegun))

    @with_system(run_fleet)
    async def test_inferred_origin_is_told_to_keepers(self, fleet):
        """What an origin was inferred from may be gone when the caller comes again."""
        inferred = StreamOrigin(ORIGIN.backend, ORIGIN.version)
        first, keepers, others = fleet.hosts_of(KEY)
        first.records.note_inferred(KEY, inferred, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        fleet.kill(first.name)
        self.assertEqual(inferred, (await others[0].records.find(KEY)).origin)

    @with_system(run_fleet)
    async def test_keeper_answers_and_the_origin_is_kept(self, fleet):
        """A host that was not told could not go on with a stream, or asked each time."""
        first, keepers, others = await fleet.begin_stream()
        started = anyio.current_time()
        known = await others[0].records.find(KEY)
        self.assertLess(anyio.current_time() - started, ROUND_TRIP_S)
        self.assertEqual(ORIGIN, known.origin)
        names = [host.name for host in (first, *keepers)]
        self.assertIn(known.known_by, [f"host {name}" for name in names])
        asked = fleet.sent(OriginRequest)
        self.assertEqual(KEEPERS_ASKED, asked)
        again = await others[0].records.find(KEY)
        self.assertEqual(KnownOrigin(ORIGIN, "own"), again)
        self.assertEqual(asked, fleet.sent(OriginRequest))
        self.assertEqual(KEEPERS_TOLD, fleet.sent(StreamBegun))

    @with_system(run_fleet)
    async def test_origin_is_known_after_its_teller_was_killed(self, fleet):
        """The streams of a killed host could go on nowhere."""
        first, keepers, others = await fleet.begin_stream()
        fleet.kill(first.name)
        self.assertEqual(ORIGIN, (await others[0].records.find(KEY)).origin)
        fleet.remove(first.name)
        self.assertEqual(ORIGIN, (await others[1].records.find(KEY)).origin)
        # The name of the teller stays known for the log.
        known = await keepers[0].records.find(KEY)
        self.assertEqual("host h1", known.known_by)

    @with_system(run_fleet)
    async def test_tellers_are_named_after_the_hosts_changed(self, fleet):
        """The log would name no host, or one that had the address before."""
        host = fleet.by_name["h1"]

        async def known_by(number, port):
            message = StreamBegun(key_of(number), ORIGIN, 60_000)
            host.records._on_begun(message, ("127.0.0.1", port))
            return (await host.records.find(key_of(number))).known_by

        self.assertEqual("host h2", await known_by(1, 2))
        self.assertEqual("host at ('127.0.0.1', 7)", await known_by(2, 7))
        fleet.join(*infos_of(1, 3, first=7))
        self.assertEqual("host h7", await known_by(3, 7))
        self.assertEqual("host h2", await known_by(4, 2))

    @with_system(run_fleet)
    async def test_one_keeper_that_was_told_suffices(self, fleet):
        """Two lost datagrams of three would make a stream unknown."""
        first, keepers, others = fleet.hosts_of(KEY)
        for keeper in keepers[:2]:
            fleet.network.cuts.add(frozenset((first.name, keeper.name)))
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        fleet.kill(first.name)
        for host in (*others, *keepers):
            started = anyio.current_time()
            self.assertEqual(ORIGIN, (await host.records.find(KEY)).origin)
            self.assertLess(anyio.current_time() - started, ROUND_TRIP_S)

    @with_system(run_fleet)
    async def test_lost_question_is_sent_again(self, fleet):
        """One lost datagram between two hosts would end in "not known"."""
        _, _, others = await fleet.begin_stream()
        fleet.network.isolate(others[0].name, fleet.by_name)
        async with anyio.create_task_group() as group:
            results = []

            async def find():
                results.append(await others[0].records.find(KEY))

            group.start_soon(find)
            await anyio.sleep(ANSWER_TIMEOUT_S / 2)
            fleet.network.cuts.clear()
        self.assertEqual([ORIGIN], [known.origin for known in results])

    @with_system(run_fleet)
    async def test_unknown_stream_ends_with_the_last_answer(self, fleet):
        """Requests for streams that never began would wait for the time-out."""
        started = anyio.current_time()
        self.assertIsNone(await fleet.by_name["h1"].records.find(KEY))
        self.assertLess(anyio.current_time() - started, ROUND_TRIP_S)
        self.assertEqual(KEEPERS_ASKED, fleet.sent(OriginRequest))

    @with_system(run_fleet)
    async def test_silent_keepers_end_in_not_known_after_the_time_out(self, fleet):
        """A request would wait without end for hosts that were killed."""
        _, _, others = await fleet.begin_stream()
        fleet.network.isolate(others[0].name, fleet.by_name)
        started = anyio.current_time()
        self.assertIsNone(await others[0].records.find(KEY))
        self.assertAlmostEqual(QUESTION_S, anyio.current_time() - started)
        self.assertEqual(MAX_SENDS * KEEPERS_ASKED, fleet.sent(OriginRequest))

    @with_system(run_fleet)
    async def test_origin_told_while_others_are_asked_is_found(self, fleet):
        """A late StreamBegun would be overlooked by a request that waits for it."""
        host = fleet.by_name["h1"]
        fleet.network.isolate(host.name, fleet.by_name)
        results = []

        async def find():
            results.append(await host.records.find(KEY))

        async with anyio.create_task_group() as group:
            group.start_soon(find)
            await anyio.sleep(ANSWER_TIMEOUT_S)
            host.records._on_begun(StreamBegun(KEY, ORIGIN, 60_000), ("127.0.0.1", 2))
        self.assertEqual([ORIGIN], [known.origin for known in results])

    @with_system(run_fleet)
    async def test_late_answers_are_ignored(self, fleet):
        """An answer to a question that has ended could raise, or stay in memory."""
        _, _, others = await fleet.begin_stream()
        asking = others[0]
        asking.endpoint.frozen = anyio.Event()
        self.assertIsNone(await asking.records.find(KEY))
        asking.endpoint.frozen.set()
        await anyio.sleep(ROUND_TRIP_S)
        self.assertEqual(MAX_SENDS * KEEPERS_ASKED, fleet.sent(OriginReply))
        self.assertEqual(0, len(asking.records.own))
        # The next question has other numbers, and its own answers count.
        asking.endpoint.frozen = None
        self.assertEqual(ORIGIN, (await asking.records.find(KEY)).origin)

    @with_system(run_fleet)
    async def test_answers_to_an_earlier_process_are_ignored(self, fleet):
        """A late answer could name the origin of another stream after a restart."""
        asking = fleet.by_name["h1"]
        keeper = fleet.by_name[asking.keepers(KEY)[0]]
        address = (asking.info.ip, asking.info.port)
        results = []

        async def find():
            results.append(await asking.records.find(KEY))

        async with anyio.create_task_group() as group:
            group.start_soon(find)
            # The wrong answers arrive before those of the keepers.
            await anyio.sleep(DELIVERY_DELAY_S / 2)
            for number in range(1, 9):
                keeper.endpoint.send(OriginReply(0, number, ORIGIN, 9999), address)
        self.assertEqual([None], results)

    @with_system(run_fleet, 1)
    async def test_hosts_alone_find_only_their_own_streams(self, fleet):
        """A host without others to ask could wait or fail."""
        host = fleet.by_name["h1"]
        started = anyio.current_time()
        self.assertIsNone(await host.records.find(KEY))
        host.records.note_begun(KEY, ORIGIN, LIFE_S)
        self.assertEqual(ORIGIN, (await host.records.find(KEY)).origin)
        self.assertEqual(started, anyio.current_time())
        self.assertEqual({}, dict(fleet.network.datagrams_by_sender))

    @with_system(run_fleet, 2)
    async def test_two_hosts_know_the_streams_of_each_other(self, fleet):
        """Fewer hosts than keepers could not be told or asked."""
        first, second = fleet.by_name.values()
        fleet.network.cuts.add(frozenset((first.name, second.name)))
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        fleet.network.cuts.clear()
        self.assertEqual(KnownOrigin(ORIGIN, "host h1"), await second.records.find(KEY))

    @with_system(run_fleet)
    async def test_hosts_that_join_and_leave_find_streams(self, fleet):
        """A new host would know nothing, and a change of keepers lose streams."""
        keys = [key_of(number) for number in range(100)]
        for key in keys:
            fleet.by_name["h1"].records.note_begun(key, ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        (info,) = infos_of(1, 3, first=7)
        fleet.join(info)
        fleet.kill("h1")
        for key in keys[:50]:
            known = await fleet.by_name["h7"].records.find(key)
            self.assertEqual(ORIGIN, known.origin)
        fleet.remove("h2")
        for key in keys[50:]:
            known = await fleet.by_name["h7"].records.find(key)
            self.assertEqual(ORIGIN, known.origin)

    def test_real_membership_finds_streams_of_a_killed_host(self):
        """The membership could offer the hosts in another form than the tests do."""

        async def check(system):
            records = {
                member.name: StreamRecords(member.hosts, member.endpoint)
                for member in system.members.values()
            }
            for number in range(20):
                records["entry-1"].note_begun(key_of(number), ORIGIN, LIFE_S)
            await anyio.sleep(ROUND_TRIP_S)
            system.kill(1)
            names = [member.name for member in system.members.values()]
            for number, name in zip(range(10), itertools.cycle(names), strict=False):
                known = await records[name].find(key_of(number))
                self.assertEqual(ORIGIN, known.origin)
            # A list of the leader may name the host anew until it forgets it as well.
            await anyio.sleep(2 * FORGET_TIMEOUT_S)
            for member in system.members.values():
                self.assertNotIn("entry-1", member.hosts.by_name)
            for number, name in zip(
                range(10, 20), itertools.cycle(names), strict=False
            ):
                known = await records[name].find(key_of(number))
                self.assertEqual(ORIGIN, known.origin)

        run_system(check, 6)


class AmbiguityTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_second_origin_of_a_stream_makes_it_unknown(self, fleet):
        """A caller that used a request id twice would go on at a wrong version."""
        first, keepers, others = await fleet.begin_stream()
        keepers[0].records.note_begun(KEY, OTHER_ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        for keeper in keepers:
            self.assertIsNone(await keeper.records.find(KEY))
        fleet.kill(first.name)
        self.assertIsNone(await others[0].records.find(KEY))

    @with_system(run_fleet)
    async def test_ambiguous_stream_stays_unknown_until_the_last_record_ends(
        self, fleet
    ):
        """The origin that was told last could count as the only one."""
        records = fleet.by_name["h1"].records
        records.note_learned(KEY, ORIGIN, LIFE_S)
        records.note_learned(KEY, OTHER_ORIGIN, 1.0)
        self.assertIsNone(await records.find(KEY))
        await anyio.sleep(2.0)
        for origin in (ORIGIN, OTHER_ORIGIN):
            records.note_learned(KEY, origin, 1.0)
            self.assertIsNone(await records.find(KEY))
        await anyio.sleep(LIFE_S - 3.0)
        self.assertIsNone(await records.find(KEY))
        self.assertEqual(0, fleet.sent(OriginRequest))
        await anyio.sleep(1.0)
        records.note_learned(KEY, OTHER_ORIGIN, LIFE_S)
        self.assertEqual(OTHER_ORIGIN, (await records.find(KEY)).origin)

    @with_system(run_fleet)
    async def test_inferred_origin_yields_to_one_that_names_its_process(self, fleet):
        """A stream would be unknown where both records of its version are kept."""
        inferred = StreamOrigin(ORIGIN.backend, ORIGIN.version)
        for origins in ((inferred, ORIGIN), (ORIGIN, inferred)):
            first = fleet.by_name["h1"]
            first.records.note_inferred(KEY, origins[0], LIFE_S)
            address = (first.info.ip, first.info.port)
            first.records._on_begun(StreamBegun(KEY, origins[1], 60_000), address)
            self.assertEqual(ORIGIN, (await first.records.find(KEY)).origin)

    async def ask_keepers(self, fleet, *origins):
        """Returns what a host finds if keepers know one of the origins each."""
        asking = fleet.by_name["h1"]
        for name, origin in zip(
            asking.keepers(KEY, len(origins)), origins, strict=True
        ):
            fleet.by_name[name].records.note_learned(KEY, origin, LIFE_S)
        return await asking.records.find(KEY)

    @with_system(run_fleet)
    async def test_keepers_that_differ_tell_nothing(self, fleet):
        """Guards against the first answer taken for the only one, after hosts on two
        sides of a cut have begun a stream for one request id."""
        self.assertIsNone(await self.ask_keepers(fleet, ORIGIN, OTHER_ORIGIN))

    @with_system(run_fleet)
    async def test_inferences_that_differ_tell_nothing(self, fleet):
        """Guards against an inference of a host that was out of step, taken though
        another host has inferred another version."""
        origins = [StreamOrigin(o.backend, o.version) for o in (ORIGIN, OTHER_ORIGIN)]
        self.assertIsNone(await self.ask_keepers(fleet, *origins))

    @with_system(run_fleet)
    async def test_origin_counts_though_inferences_differ(self, fleet):
        """Guards against a stream that is refused though the host that passed its
        first event on has told of it."""
        origins = [StreamOrigin(o.backend, o.version) for o in (OTHER_ORIGIN, ORIGIN)]
        known = await self.ask_keepers(fleet, *origins, ORIGIN)
        self.assertEqual(ORIGIN, known.origin)

    @with_system(run_fleet)
    async def test_wrong_inference_yields_to_the_host_that_began_the_stream(
        self, fleet
    ):
        """A host that was cut off would go on at a wrong version after the cut."""
        inferred = StreamOrigin(OTHER_ORIGIN.backend, OTHER_ORIGIN.version)
        first, keepers, others = fleet.hosts_of(KEY)
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        others[0].records.note_inferred(KEY, inferred, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        for host in (*keepers, *others):
            self.assertEqual(ORIGIN, (await host.records.find(KEY)).origin)

    @with_system(run_fleet)
    async def test_ambiguous_reply_about_a_stream_that_was_told_meanwhile(self, fleet):
        """The caller got an internal error."""
        first, keepers, others = fleet.hosts_of(KEY)
        for origin in (ORIGIN, OTHER_ORIGIN):
            keepers[0].records.note_learned(KEY, origin, LIFE_S)
        host = others[0]
        address = (first.info.ip, first.info.port)
        async with anyio.create_task_group() as group:
            group.start_soon(self.assert_unknown, host)
            await anyio.lowlevel.checkpoint()
            host.records._on_begun(StreamBegun(KEY, ORIGIN, 60_000), address)

    async def assert_unknown(self, host):
        self.assertIsNone(await host.records.find(KEY))

    @with_system(run_fleet)
    async def test_own_and_told_record_of_one_stream_are_compared(self, fleet):
        """Records in two tables could each name another origin."""
        first, second = fleet.by_name["h1"], fleet.by_name["h2"]
        address = (second.info.ip, second.info.port)
        other = StreamBegun(KEY, OTHER_ORIGIN, 60_000)
        same = StreamBegun(KEY, ORIGIN, 60_000)
        first.records.note_learned(KEY, ORIGIN, LIFE_S)
        first.records._on_begun(same, address)
        self.assertEqual(ORIGIN, (await first.records.find(KEY)).origin)
        first.records._on_begun(other, address)
        self.assertIsNone(await first.records.find(KEY))
        second.records._on_begun(other, address)
        second.records.note_learned(KEY, ORIGIN, LIFE_S)
        self.assertIsNone(await second.records.find(KEY))

    @with_system(run_fleet)
    async def test_repeated_record_of_the_same_origin_is_not_ambiguous(self, fleet):
        """A datagram that arrives twice would make a stream unknown."""
        first, keepers, _ = fleet.hosts_of(KEY)
        for _ in range(2):
            first.records.note_begun(KEY, ORIGIN, LIFE_S)
            await anyio.sleep(ROUND_TRIP_S)
        for host in (first, *keepers):
            self.assertEqual(ORIGIN, (await host.records.find(KEY)).origin)
            self.assertEqual(1, len(host.records.own) + len(host.records.told))


class LifeTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_records_expire_at_all_hosts(self, fleet):
        """A record could outlive its stream, and meet a later use of the id."""
        first, keepers, others = fleet.hosts_of(KEY)
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        await anyio.sleep(LIFE_S / 2)
        # A host that asks keeps the origin for the rest of its life only.
        self.assertEqual(ORIGIN, (await others[0].records.find(KEY)).origin)
        await anyio.sleep(LIFE_S / 2 - 1.0)
        for host in (first, *keepers, others[0]):
            self.assertEqual(ORIGIN, (await host.records.find(KEY)).origin)
        await anyio.sleep(1.0 + ROUND_TRIP_S)
        for host in (first, *keepers, *others):
            self.assertIsNone(await host.records.find(KEY))

    @with_system(run_fleet)
    async def test_expired_records_are_dropped_when_new_ones_come(self, fleet):
        """Records of ended streams would fill the memory of a quiet host."""
        records = fleet.by_name["h1"].records
        for number in range(500):
            records.note_learned(key_of(number), ORIGIN, LIFE_S)
        await anyio.sleep(LIFE_S)
        records.note_learned(key_of(500), ORIGIN, LIFE_S)
        self.assertEqual(1, len(records.own))

    @with_system(run_fleet)
    async def test_absurd_lives_are_bounded(self, fleet):
        """A wrong life would keep a record for ever, or end the handling of others."""
        first, keepers, others = fleet.hosts_of(KEY)
        for number, life_s in enumerate((1e30, float("inf"))):
            first.records.note_begun(key_of(number), ORIGIN, life_s)
        address = (first.info.ip, first.info.port)
        first.endpoint.send_all(
            StreamBegun(key_of(2), ORIGIN, 2**31),
            [(host.info.ip, host.info.port) for host in fleet.by_name.values()],
        )
        await anyio.sleep(MAX_LIFE_S - 1.0)
        for number in range(3):
            known = await keepers[0].records.find(key_of(number))
            self.assertEqual(ORIGIN, known.origin)
        await anyio.sleep(1.0 + ROUND_TRIP_S)
        for host in fleet.by_name.values():
            for number in range(3):
                self.assertIsNone(await host.records.find(key_of(number)))
        sent = fleet.sent(StreamBegun)
        for life_s in (0.0, -1.0, -float("inf"), float("nan"), 1e-9):
            first.records.note_begun(key_of(3), ORIGIN, life_s)
        others[0].records._on_begun(StreamBegun(key_of(3), ORIGIN, 0), address)
        self.assertEqual(sent, fleet.sent(StreamBegun))
        await anyio.sleep(DELIVERY_DELAY_S)
        for host in (first, others[0]):
            self.assertIsNone(await host.records.find(key_of(3)))
        # A record without a life says nothing about another origin.
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        first.records.note_learned(KEY, OTHER_ORIGIN, 0.0)
        first.records._on_begun(StreamBegun(KEY, OTHER_ORIGIN, 0), address)
        self.assertEqual(ORIGIN, (await first.records.find(KEY)).origin)

    def test_malformed_messages_are_refused(self):
        """Keys of any length and negative lives could get into the tables."""
        for message in (
            StreamBegun(KEY[:15], ORIGIN, 1),
            StreamBegun(KEY + b"x", ORIGIN, 1),
            StreamBegun(KEY, ORIGIN, -1),
            StreamBegun(KEY, ORIGIN, 2**31 + 1),
            StreamBegun(KEY, ORIGIN, 1.5),
            StreamBegun(KEY, StreamOrigin("x" * 201, "1"), 1),
            StreamBegun(KEY, StreamOrigin("vllm", "x" * 201), 1),
            StreamBegun(KEY, None, 1),
            OriginRequest(1, 1, KEY[:15]),
            OriginReply(1, 1, ORIGIN, -1),
        ):
            self.assertRaises(msgspec.DecodeError, decode, encode(message))


class BoundsTest(testtools.TestCase):
    @with_system(run_fleet)
    async def test_flood_of_streams_of_one_sender_is_bounded(self, fleet):
        """One host could fill the memory of others, or displace their own records."""
        first = fleet.by_name["h1"]
        address = (fleet.by_name["h2"].info.ip, fleet.by_name["h2"].info.port)
        first.records.note_begun(KEY, ORIGIN, LIFE_S)
        count = MAX_TOLD_RECORDS + 1000
        for number in range(1, count + 1):
            message = StreamBegun(key_of(number), OTHER_ORIGIN, 60_000)
            first.records._on_begun(message, address)
        self.assertEqual(MAX_TOLD_RECORDS, len(first.records.told))
        self.assertEqual(ORIGIN, (await first.records.find(KEY)).origin)
        for number in (1001, count):
            known = await first.records.find(key_of(number))
            self.assertEqual(KnownOrigin(OTHER_ORIGIN, "host h2"), known)
        self.assertIsNone(await first.records.find(key_of(1000)))

    @with_system(run_fleet)
    async def test_own_records_are_bounded_and_the_oldest_go_first(self, fleet):
        """A host with very many streams would fill its memory."""
        records = fleet.by_name["h1"].records
        for number in range(MAX_OWN_RECORDS + 10):
            records.note_learned(key_of(number), ORIGIN, LIFE_S)
        self.assertEqual(MAX_OWN_RECORDS, len(records.own))
        self.assertIsNone(await records.find(key_of(9)))
        self.assertIsNotNone(await records.find(key_of(10)))

    @with_system(run_fleet)
    async def test_record_that_is_noted_again_counts_as_new(self, fleet):
        """A stream that goes on could be dropped rather than one that began later, or
        take the place of two."""
        records = fleet.by_name["h1"].records
        for number in range(MAX_OWN_RECORDS):
            records.note_learned(key_of(number), ORIGIN, LIFE_S)
        records.note_learned(key_of(1), ORIGIN, LIFE_S)
        self.assertEqual(MAX_OWN_RECORDS, len(records.own))
        self.assertIsNotNone(await records.find(key_of(0)))
        for number in range(2):
            key = key_of(MAX_OWN_RECORDS + number)
            records.note_learned(key, ORIGIN, LIFE_S)
        self.assertIsNone(await records.find(key_of(0)))
        self.assertIsNotNone(await records.find(key_of(1)))
        self.assertIsNone(await records.find(key_of(2)))

    @with_system(run_fleet)
    async def test_concurrent_questions_about_one_stream_are_one(self, fleet):
        """A caller that repeats a request would multiply the questions."""
        _, _, others = await fleet.begin_stream()
        results = []

        async def find():
            results.append(await others[0].records.find(KEY))

        async with anyio.create_task_group() as group:
            for _ in range(50):
                group.start_soon(find)
        self.assertEqual([ORIGIN] * 50, [known.origin for known in results])
        self.assertEqual(KEEPERS_ASKED, fleet.sent(OriginRequest))

    @with_system(run_fleet)
    async def test_question_goes_on_if_the_first_that_asked_is_cancelled(self, fleet):
        """A caller that goes away would take the answer from the others."""
        _, _, others = await fleet.begin_stream()
        fleet.network.isolate(others[0].name, fleet.by_name)
        results = []

        async def find(scope):
            with scope:
                results.append(await others[0].records.find(KEY))

        scopes = [anyio.CancelScope() for _ in range(2)]
        async with anyio.create_task_group() as group:
            for scope in scopes:
                group.start_soon(find, scope)
            await anyio.sleep(ANSWER_TIMEOUT_S / 2)
            scopes[0].cancel()
            fleet.network.cuts.clear()
        self.assertEqual([ORIGIN], [known.origin for known in results])

    @with_system(run_fleet)
    async def test_open_questions_are_bounded(self, fleet):
        """Callers that name many unknown streams would flood the other hosts."""
        records = fleet.by_name["h1"].records
        fleet.network.isolate("h1", fleet.by_name)
        ended_at = []

        async def find(number):
            self.assertIsNone(await records.find(key_of(number)))
            ended_at.append(anyio.current_time())

        started = anyio.current_time()
        async with anyio.create_task_group() as group:
            for number in range(MAX_QUESTIONS + 50):
                group.start_soon(find, number)
        self.assertEqual(50, ended_at.count(started))
        self.assertEqual(
            MAX_QUESTIONS * MAX_SENDS * KEEPERS_ASKED, fleet.sent(OriginRequest)
        )
        # Questions that have ended leave room for others.
        fleet.network.cuts.clear()
        fleet.by_name["h2"].records.note_begun(KEY, ORIGIN, LIFE_S)
        await anyio.sleep(ROUND_TRIP_S)
        self.assertEqual(ORIGIN, (await records.find(KEY)).origin)
