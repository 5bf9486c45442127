"""Tests of the questions to the leader about kept prompts, on a simulated network."""

import types

import anyio
import testtools

from snipetrestle.coordination.messaging.messages import (
    KeptPromptReply,
    KeptPromptRequest,
)
from snipetrestle.coordination.streams.kept_prompt_answers import (
    MAX_OPEN_REQUESTS,
    KeptPromptAnswers,
)
from snipetrestle.coordination.streams.kept_prompt_questions import (
    ASK_TIMEOUT_S,
    END_MARGIN_S,
    MAX_OWN_REPLICAS,
    QUESTIONS_BURST,
    QUESTIONS_PER_S,
    KeptPromptQuestions,
)
from snipetrestle.gateway.configuration import MAX_NAME_LENGTH, AdapterKey
from snipetrestle.gateway.publication.published_items import StorePosition
from snipetrestle.gateway.streams.kept_prompts import KeptPrompts
from snipetrestle.gateway.streams.stream_origin import StreamOrigin
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import DatagramNetwork, LocalEndpoint
from tests.gateway.test_kept_prompts import (
    BACKEND,
    MODEL,
    Directory,
    KeepingReplica,
    Log,
    Reads,
    replicas_of,
)

ADAPTER = AdapterKey(MODEL, "a1")
# The time after which the requests of most tests are refused.
DUE_S = 2.4
LARGE = MAX_OWN_REPLICAS + 4
V1 = StreamOrigin(BACKEND, "v1")


class Follower:
    """Fake Leadership; ``fleet.leader`` names the host that all follow, "" for none.

    A host of ``believed_by_host`` follows another one.
    """

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    @property
    def _leader(self):
        fleet = self._fleet
        return fleet.believed_by_host.get(self._name, fleet.leader)

    @property
    def leads(self):
        return self._leader == self._name

    @property
    def has_recent_leader(self):
        return bool(self._leader)

    def leader_address(self):
        host = self._fleet.by_name.get(self._leader)
        return None if host is None or self.leads else host.endpoint.address


class Host:
    def __init__(self, fleet, number):
        self.name = f"h{number}"
        self.endpoint = LocalEndpoint(fleet.network, self.name, ("127.0.0.1", number))
        self.is_ready = True
        directory = Directory(fleet.replicas)
        leadership = Follower(fleet, self.name)
        self.reads = Reads()
        kept_prompts = KeptPrompts(directory, KeepingReplica.list, self.reads, Log())
        answers = KeptPromptAnswers(
            leadership, kept_prompts, self.endpoint, lambda: self.is_ready
        )
        self.questions = KeptPromptQuestions(
            types.SimpleNamespace(own=types.SimpleNamespace(boot=number)),
            leadership,
            self.endpoint,
            answers,
            kept_prompts,
            directory,
            self.reads,
        )

    async def ask(self, part="p0", due_s=DUE_S):
        due_at = anyio.current_time() + due_s
        return await self.questions.only_origin(BACKEND, ADAPTER, part, due_at)


class Fleet:
    """Hosts that all know the same replicas, and follow h1."""

    def __init__(self, network, hosts, replicas):
        self.network = network
        self.replicas = replicas_of(replicas)
        self.leader = "h1"
        self.believed_by_host = {}
        self.by_name = {}
        for number in range(1, hosts + 1):
            self.by_name[f"h{number}"] = Host(self, number)

    async def ask_all(self, count, within_s, part="p0"):
        """Asks that many questions, of all hosts in turns; returns the answers."""
        hosts = list(self.by_name.values())
        answers = [None] * count

        async def ask(number):
            await anyio.sleep(within_s * number / count)
            host = hosts[number % len(hosts)]
            answers[number] = await host.ask(part.format(number))

        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(ask, number)
        return answers

    def listings(self):
        return [len(replica.listed_at) for replica in self.replicas]

    def sent(self, message_type):
        return self.network.datagrams_by_type[message_type]


def run_fleet(function, hosts=4, replicas=LARGE):
    """Runs ``function(fleet)`` in virtual time."""

    async def main():
        network = DatagramNetwork()
        async with anyio.create_task_group() as group:
            network.task_group = group
            await function(Fleet(network, hosts, replicas))
            group.cancel_scope.cancel()

    run_in_virtual_time(main)


class LeaderTest(testtools.TestCase):
    def test_leader_answers_all_hosts_with_few_listings(self):
        """Each host listed all replicas, which was too much for them."""

        async def check(fleet):
            answers = await fleet.ask_all(300, 0.5)
            self.assertEqual([V1] * 300, answers)
            self.assertLessEqual(max(fleet.listings()), 3)

        run_fleet(check, hosts=71, replicas=70)

    def test_leader_asks_itself_once(self):
        """The leader would give up a round that takes longer than a follower may ask,
        and list all replicas again."""

        async def check(fleet):
            fleet.replicas[0].delay_s = 0.5
            self.assertEqual(V1, await fleet.by_name["h1"].ask(due_s=1.5))
            self.assertEqual(0, fleet.sent(KeptPromptRequest))
            self.assertEqual(1, max(fleet.listings()))

        for replicas in (MAX_OWN_REPLICAS, LARGE):
            run_fleet(check, replicas=replicas)

    def test_part_that_no_replica_keeps_is_answered_before_the_end(self):
        """A caller would wait for its refusal until its deadline."""

        async def check(fleet):
            started = anyio.current_time()
            self.assertIsNone(await fleet.by_name["h2"].ask("unknown"))
            self.assertLess(anyio.current_time() - started, 0.1)

        run_fleet(check)

    def test_lost_datagrams_are_resent(self):
        """A question would end at the first datagram that is lost."""

        async def check(fleet):
            fleet.network.loss_rate = 0.2
            answers = await fleet.ask_all(200, 0.1)
            # Each is sent up to eight times.
            self.assertGreaterEqual(answers.count(V1), 190)

        run_fleet(check)

    def test_resent_request_starts_no_second_listing(self):
        """Replies that are lost would cost a listing of all replicas each."""

        async def check(fleet):
            async def lose_replies():
                await anyio.sleep(0.005)
                fleet.network.loss_rate = 1.0
                await anyio.sleep(0.2)
                fleet.network.loss_rate = 0.0

            async with anyio.create_task_group() as group:
                group.start_soon(lose_replies)
                self.assertEqual(V1, await fleet.by_name["h2"].ask())
            self.assertGreater(fleet.sent(KeptPromptRequest), 2)
            self.assertEqual(1, max(fleet.listings()))

        run_fleet(check)

    def test_successor_of_a_lost_leader_is_asked(self):
        """A question to a leader that was killed would never be answered."""

        async def check(fleet):
            fleet.by_name["h1"].endpoint.up = False

            async def elect():
                await anyio.sleep(1.0)
                fleet.leader = "h3"

            async with anyio.create_task_group() as group:
                group.start_soon(elect)
                # The usual time from a request to its refusal.
                self.assertEqual(V1, await fleet.by_name["h2"].ask(due_s=1.9))

        run_fleet(check)

    def test_question_waits_for_an_election(self):
        """Callers come back before a leader is elected after a restart of all hosts."""

        async def check(fleet):
            fleet.leader = ""

            async def elect():
                await anyio.sleep(1.0)
                fleet.leader = "h3"

            async with anyio.create_task_group() as group:
                group.start_soon(elect)
                answers = await fleet.ask_all(4, 0.0)
            self.assertEqual([V1] * 4, answers)

        run_fleet(check)

    def test_question_waits_for_the_leaders_configuration(self):
        """A leader without replicas would answer that none keeps the part."""

        async def check(fleet):
            leader = fleet.by_name["h1"]
            leader.is_ready = False

            async def configure():
                await anyio.sleep(0.5)
                leader.is_ready = True

            async with anyio.create_task_group() as group:
                group.start_soon(configure)
                answers = await fleet.ask_all(4, 0.0)
            self.assertEqual([V1] * 4, answers)

        run_fleet(check)

    def test_hosts_that_ask_each_other_end_in_not_known(self):
        """Hosts that take each other for the leader would ask on without an end."""

        async def check(fleet):
            fleet.believed_by_host = {"h1": "h2", "h2": "h1"}
            self.assertEqual([None] * 2, await fleet.ask_all(2, 0.0))
            self.assertEqual(0, sum(fleet.listings()))

        run_fleet(check, hosts=2)


class OldAnswerTest(testtools.TestCase):
    """A leader says "v1" by a list that may be older than the question."""

    def ask(self, replicas, *position):
        """Returns the answer and the number of own listings of the host that asks."""
        results = []

        async def check(fleet):
            leader, host = fleet.by_name["h1"].endpoint, fleet.by_name["h2"]

            def answer(message, address):
                reply = KeptPromptReply(
                    message.boot, message.number, "v1", True, *position
                )
                leader.send(reply, address)

            leader.register(KeptPromptRequest, answer)
            results.append((await host.ask(), sum(fleet.listings())))

        run_fleet(check, replicas=replicas)
        return results[0]

    def test_version_without_a_position_is_not_taken(self):
        """Guards against a leader of an older release, which reads no store."""
        self.assertEqual((None, 0), self.ask(LARGE))
        self.assertEqual((V1, MAX_OWN_REPLICAS), self.ask(MAX_OWN_REPLICAS))

    def test_version_of_an_older_position_is_not_taken(self):
        """Guards against a list without replicas that the asker itself has listed."""
        self.assertEqual((None, 0), self.ask(LARGE, StorePosition(1, 6)))
        self.assertEqual((None, 0), self.ask(LARGE, StorePosition(0, 9)))
        self.assertEqual((V1, 0), self.ask(LARGE, StorePosition(1, 7)))


class NoLeaderTest(testtools.TestCase):
    def ask_without_leader(self, replicas, due_s=DUE_S):
        """Returns (answer, time it took in s, number of listings) of a question."""
        results = []

        async def check(fleet):
            fleet.leader = ""
            started = anyio.current_time()
            answer = await fleet.by_name["h2"].ask(due_s=due_s)
            took_s = anyio.current_time() - started
            results.append((answer, took_s, sum(fleet.listings())))

        run_fleet(check, replicas=replicas)
        return results[0]

    def test_host_lists_a_small_backend_itself(self):
        """Streams of a few hosts and replicas would need the leader."""
        answer, took_s, _ = self.ask_without_leader(MAX_OWN_REPLICAS)
        self.assertEqual(V1, answer)
        self.assertLess(took_s, DUE_S - END_MARGIN_S)

    def test_no_host_lists_a_large_backend_itself(self):
        """All hosts would list all replicas."""
        answer, took_s, listings = self.ask_without_leader(LARGE)
        self.assertEqual((None, 0), (answer, listings))
        self.assertLessEqual(took_s, ASK_TIMEOUT_S + 0.001)

    def test_question_ends_before_its_request_is_refused(self):
        """The caller would get no refusal that says what was missing."""
        for replicas in (MAX_OWN_REPLICAS, LARGE):
            for due_s in (0.2, 0.5, 1.0, 1.5):
                _, took_s, _ = self.ask_without_leader(replicas, due_s)
                self.assertLessEqual(took_s, max(0.0, due_s - END_MARGIN_S) + 0.001)

    def test_unreachable_leader_ends_in_not_known(self):
        """A host behind a cut would wait or guess."""

        async def check(fleet):
            fleet.network.isolate("h2", fleet.by_name)
            self.assertIsNone(await fleet.by_name["h2"].ask())
            self.assertEqual(0, sum(fleet.listings()))

        run_fleet(check)


class BoundTest(testtools.TestCase):
    def test_crowd_of_unknown_streams_stays_bounded(self):
        """Callers can name any number of streams that nobody knows."""

        async def check(fleet):
            host = fleet.by_name["h2"]
            for number in range(40):
                async with anyio.create_task_group() as group:
                    for part in range(200):
                        group.start_soon(host.ask, f"unknown-{number}-{part}")
                    group.start_soon(anyio.sleep, 1.0)
            elapsed_s = anyio.current_time()
            allowed = QUESTIONS_BURST + QUESTIONS_PER_S * elapsed_s
            # Each question is answered within two datagrams here.
            self.assertLessEqual(fleet.sent(KeptPromptRequest), 2 * allowed)

        run_fleet(check)

    def test_leader_bounds_the_requests_that_wait(self):
        """Questions of all hosts would take the memory of one."""

        async def check(fleet):
            for replica in fleet.replicas:
                replica.delay_s = 60.0
            leader, host = fleet.by_name["h1"], fleet.by_name["h2"]
            for number in range(MAX_OPEN_REQUESTS + 100):
                request = KeptPromptRequest(1, number, BACKEND, MODEL, "p0")
                host.endpoint.send(request, leader.endpoint.address)
            await anyio.sleep(0.1)
            self.assertEqual(100, fleet.sent(KeptPromptReply))
            await anyio.sleep(1.0)
            self.assertEqual(MAX_OPEN_REQUESTS + 100, fleet.sent(KeptPromptReply))

        run_fleet(check)

    def test_names_that_no_message_carries_are_not_asked_for(self):
        """The leader would drop the request, and the caller wait for its answer."""

        async def check(fleet):
            host = fleet.by_name["h2"]
            self.assertIsNone(await host.ask("x" * (MAX_NAME_LENGTH + 1)))
            self.assertEqual(0.0, anyio.current_time())

        run_fleet(check)
