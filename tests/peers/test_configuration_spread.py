"""Tests of the distribution of the published configuration, on a simulated clock."""

import hashlib
import random

import anyio
import msgspec
import testtools
from loguru import logger

from snipetrestle.checking import InvalidDocument
from snipetrestle.peers.configuration_changes import (
    Changes,
    apply_changes,
    changes_from_empty,
)
from snipetrestle.peers.configuration_spread import (
    MAX_BACKOFF_S,
    FetchConfiguration,
)
from snipetrestle.peers.membership_messages import RevisionDigest
from snipetrestle.published import PublishedConfiguration
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document
from tests.systems import with_system

TIMEOUT_S = 30.0
# Design section 1.6: a change is in effect on all daemons within 14 s.
DISTRIBUTION_LIMIT_S = 14.0


def publish(fleet, adapters=3, revision=None, **extra):
    return fleet.configuration.publish(
        encode_document(small_document(adapters, **extra)), revision
    )


def publish_parts(fleet, parts):
    """Publishes a document as parts, and then the index that lists them."""
    digests = {}
    for key, data in parts.items():
        text = data if isinstance(data, bytes) else encode_document(data)
        fleet.configuration.publish(text, key=f"snipetrestle/{key}")
        digests[key] = hashlib.sha256(text).hexdigest()
    return fleet.configuration.publish(encode_document({"parts": digests}))


def run_fleet(function, size=7, **options):
    async def main():
        async with MembershipFleet(size, **options) as fleet:
            await function(fleet)

    run_in_virtual_time(main)


class DistributionTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.events = []
        handler = logger.add(
            lambda message: self.events.append(message.record["extra"]), level="DEBUG"
        )
        self.addCleanup(logger.remove, handler)

    def events_of(self, number):
        return [item for item in self.events if item["event"] == number]

    async def wait_for_revisions(self, fleet, accepted, seen=None, limit_s=TIMEOUT_S):
        expected = ({accepted}, {accepted if seen is None else seen})
        return await fleet.wait_until(lambda: fleet.revisions() == expected, limit_s)

    async def start_accepted(self, fleet):
        """Starts all daemons and waits until the first revision is in effect."""
        fleet.start_all()
        await self.wait_for_revisions(fleet, 1)

    async def start_beside_a_stale_service(self, fleet):
        """Starts all daemons with revision 2; then the service shows revision 1."""
        publish(fleet)
        fleet.configuration.freeze()
        frozen = fleet.configuration._frozen
        fleet.configuration.thaw()
        publish(fleet, adapters=4)
        fleet.start_all()
        await self.wait_for_revisions(fleet, 2)
        fleet.configuration._frozen = frozen


class DistributionTest(DistributionTestCase):
    def check_distribution(self, size, domains):
        async def check(fleet):
            publish(fleet)
            await self.start_accepted(fleet)
            for daemon in fleet.daemons_by_name.values():
                await daemon.spread.ready.wait()
            reads = fleet.configuration.calls["read"]
            self.assertEqual(2 * domains, reads)
            for revision in (2, 3):
                publish(fleet, adapters=2 + revision)
                elapsed = await self.wait_for_revisions(fleet, revision)
                self.assertTrue(elapsed <= DISTRIBUTION_LIMIT_S, elapsed)
            for daemon in fleet.daemons_by_name.values():
                self.assertEqual(5, len(daemon.spread.current.adapters))
            # Only the readers call the service.
            self.assertEqual(reads, fleet.configuration.calls["read"])

        run_fleet(check, size, domains=domains)

    def test_distribution_among_seven_members(self):
        """No daemon may stay behind, and not all of them may read the service."""
        self.check_distribution(7, domains=3)

    def test_distribution_among_260_members(self):
        """The distribution time must not grow with the fleet size."""
        self.check_distribution(260, domains=13)

    @with_system(run_fleet)
    async def test_stale_service_does_not_revert_a_revision(self, fleet):
        """A delayed replica could replace a revision by one of its own."""
        await self.start_beside_a_stale_service(fleet)
        # Restarted daemons, readers among them, read the stale service first.
        for number in range(7):
            fleet.kill(f"entry-{number}")
            fleet.start(fleet.host(number))
            daemon = fleet.daemons_by_name[f"entry-{number}"]
            await daemon.spread.ready.wait()
            self.assertEqual(2, daemon.spread.revision)
            await anyio.sleep(20.0)
        await self.wait_for_revisions(fleet, 2)
        fleet.configuration.thaw()
        publish(fleet, adapters=5)
        await self.wait_for_revisions(fleet, 3)

    @with_system(run_fleet)
    async def test_late_reply_with_a_lower_revision_is_ignored(self, fleet):
        """Guards against a delayed reply that replaces a newer revision."""
        publish(fleet)
        await self.start_accepted(fleet)
        spread = fleet.daemons_by_name["entry-0"].spread
        old_content = await spread._on_fetch_configuration(
            "entry-1", FetchConfiguration(RevisionDigest())
        )
        publish(fleet, adapters=4)
        await self.wait_for_revisions(fleet, 2)
        fleet.network.find("entry-1").router.on_call(
            FetchConfiguration, lambda sender, message: self.reply(old_content)
        )
        await spread._fetch_from("entry-1")
        self.assertEqual(2, spread.revision)

    async def reply(self, content):
        return content

    @with_system(run_fleet)
    async def test_start_while_the_service_is_down(self, fleet):
        """Daemons must not need the service in order to start."""
        publish(fleet)
        await self.start_accepted(fleet)
        fleet.configuration.set_down(True)
        fleet.kill("entry-3")
        restarted = fleet.start(fleet.host(3))
        with anyio.fail_after(TIMEOUT_S):
            await restarted.spread.ready.wait()
        self.assertEqual(1, restarted.spread.revision)
        fleet.configuration.set_down(False)
        publish(fleet, adapters=9)
        await self.wait_for_revisions(fleet, 2, limit_s=2 * MAX_BACKOFF_S)
        self.assertEqual(2, len({item["event"] for item in self.outage_events()}))

    def outage_events(self):
        return [*self.events_of("EV-1103"), *self.events_of("EV-1105")]

    @with_system(run_fleet)
    async def test_daemon_without_any_configuration_is_not_ready(self, fleet):
        """With an empty configuration, a daemon would refuse requests."""
        fleet.configuration.set_down(True)
        fleet.start_all()
        await anyio.sleep(600.0)
        for daemon in fleet.daemons_by_name.values():
            self.assertFalse(daemon.spread.ready.is_set())
        # Six readers whose back-off has reached its maximum.
        calls = fleet.configuration.calls.total()
        self.assertTrue(calls < 6 * 20, calls)
        fleet.configuration.set_down(False)
        publish(fleet)
        with anyio.fail_after(2 * MAX_BACKOFF_S):
            for daemon in fleet.daemons_by_name.values():
                await daemon.spread.ready.wait()

    @with_system(run_fleet)
    async def test_reader_of_a_stale_service_asks_peers_before_it_is_ready(self, fleet):
        """A reader could start with a revision that peers have replaced already."""
        await self.start_beside_a_stale_service(fleet)
        for number in range(7):
            name = f"entry-{number}"
            fleet.kill(name)
            spread = fleet.start(fleet.host(number)).spread
            await spread.ready.wait()
            self.assertEqual(2, spread.revision)


class RestoredServiceTest(DistributionTestCase):
    @with_system(run_fleet)
    async def test_operators_are_told_and_get_out_by_a_higher_revision(self, fleet):
        """Readers waited in silence for a revision above the one in effect, while all
        that operators published below it had no effect."""
        publish(fleet)
        first = fleet.configuration.read("snipetrestle")
        publish(fleet, adapters=4)
        publish(fleet, adapters=5)
        fleet.start_all()
        await self.wait_for_revisions(fleet, 3)
        fleet.configuration.restore(*first)
        await anyio.sleep(60.0)
        stale = self.events_of("EV-1106")
        self.assertEqual(
            {(1, 3)}, {(item["revision"], item["in_effect"]) for item in stale}
        )
        publish(fleet, adapters=6, revision=2)
        await anyio.sleep(60.0)
        await self.wait_for_revisions(fleet, 3)
        publish(fleet, adapters=6, revision=4)
        await self.wait_for_revisions(fleet, 4)


class RefusedRevisionTest(DistributionTestCase):
    def check_refused(self, publish_invalid, problem):
        async def check(fleet):
            publish(fleet)
            await self.start_accepted(fleet)
            publish_invalid(fleet)
            await self.wait_for_revisions(fleet, 1, seen=2)
            refusals = self.events_of("EV-1102")
            self.assertEqual([2] * 7, [item["revision"] for item in refusals])
            self.assertEqual(1, len({str(item["problems"]) for item in refusals}))
            self.assertIn(problem, str(refusals[0]["problems"]))
            # A daemon that starts now fetches both revisions.
            fleet.kill("entry-3")
            fleet.start(fleet.host(3))
            await self.wait_for_revisions(fleet, 1, seen=2)
            publish(fleet, adapters=5)
            await self.wait_for_revisions(fleet, 3)
            for daemon in fleet.daemons_by_name.values():
                self.assertEqual(5, len(daemon.spread.current.adapters))

        run_fleet(check)

    def test_invalid_item(self):
        """Guards against a partly applied revision and a refusal without a log line."""
        self.check_refused(
            lambda fleet: publish(
                fleet,
                adapters=4,
                backend_servers=[{"name": "engine", "address": "127.0.0.1:1"}],
            ),
            "failure_domain: missing",
        )

    def test_dangling_reference(self):
        """Checking changed items only would miss such a removal."""

        def publish_invalid(fleet):
            data = small_document(3)
            data["models"] = [{"name": "other"}]
            fleet.configuration.publish(encode_document(data))

        self.check_refused(publish_invalid, "no such model")

    def test_malformed_text(self):
        """A document that cannot be compared by item could be ignored."""
        self.check_refused(
            lambda fleet: fleet.configuration.publish("models: ["), "not valid YAML"
        )

    def test_deeply_nested_text(self):
        """The error ended each daemon that read the service."""
        nested = b"[" * 100_000 + b"]" * 100_000
        self.check_refused(
            lambda fleet: fleet.configuration.publish(b'{"models": %b}' % nested),
            "not valid YAML",
        )

    def test_nested_text_that_can_be_read(self):
        """A message about nested content must not raise in turn."""
        nested = b"[" * 900 + b"]" * 900
        self.check_refused(
            lambda fleet: fleet.configuration.publish(b'{"models": %b}' % nested),
            "models",
        )

    def test_number_that_cannot_be_passed_on(self):
        """Such a revision was in effect at the readers and could not be sent to the
        other daemons."""
        models = [{"name": "base", "context_tokens": 10**30}]
        self.check_refused(
            lambda fleet: publish(fleet, models=models), "not plain data"
        )

    def test_unknown_field(self):
        """Comparing items ignores an unknown field; the daemon must refuse it."""
        self.check_refused(lambda fleet: publish(fleet, colour="red"), "unknown field")


class PartsTest(DistributionTestCase):
    def parts(self, adapters, extra_load_stalls=0):
        data = small_document(adapters)
        rest = {
            "customers": [],
            "backend_servers": [],
            "daemons": [{"name": f"d-{i}", "failure_domain": "x"} for i in range(4)],
            "policy": {"load_stalls": float(1 + extra_load_stalls)},
        }
        return {
            "models": {"models": data["models"]},
            "adapters-0": {"adapters": data["adapters"][::2]},
            "adapters-1": {"adapters": data["adapters"][1::2]},
            "rest": rest,
        }

    @with_system(run_fleet)
    async def test_only_changed_parts_are_read(self, fleet):
        """Readers must not read the whole document for each change."""
        publish_parts(fleet, self.parts(10))
        await self.start_accepted(fleet)
        reads = fleet.configuration.calls["read"]
        publish_parts(fleet, self.parts(11))
        await self.wait_for_revisions(fleet, 2)
        # Two readers in each of three failure domains read one part.
        self.assertEqual(reads + 6, fleet.configuration.calls["read"])
        publish_parts(fleet, self.parts(4, extra_load_stalls=1))
        await self.wait_for_revisions(fleet, 3)
        for daemon in fleet.daemons_by_name.values():
            self.assertEqual(4, len(daemon.spread.current.adapters))
            self.assertEqual(2.0, daemon.spread.current.policy.load_stalls)

    @with_system(run_fleet)
    async def test_refused_part_is_read_again_with_the_next_revision(self, fleet):
        """If a revision is refused, its changes must not be lost."""
        publish_parts(fleet, self.parts(10))
        await self.start_accepted(fleet)
        parts = self.parts(12)
        parts["rest"]["policy"] = {"load_stalls": -1.0}
        publish_parts(fleet, parts)
        await self.wait_for_revisions(fleet, 1, seen=2)
        parts["rest"]["policy"] = {}
        publish_parts(fleet, parts)
        await self.wait_for_revisions(fleet, 3)
        for daemon in fleet.daemons_by_name.values():
            self.assertEqual(12, len(daemon.spread.current.adapters))

    @with_system(run_fleet)
    async def test_name_in_two_parts_is_refused(self, fleet):
        """Parts with the same name in them could silently override each other."""
        publish_parts(fleet, self.parts(4))
        await self.start_accepted(fleet)
        parts = self.parts(4)
        parts["adapters-1"] = parts["adapters-0"]
        publish_parts(fleet, parts)
        await self.wait_for_revisions(fleet, 1, seen=2)
        self.assertIn("name is repeated", str(self.events_of("EV-1102")[0]))

    @with_system(run_fleet)
    async def test_part_with_a_key_that_is_no_text_is_refused(self, fleet):
        """Parts with such a key could not be put together, and the error ended each
        daemon that read the service."""
        publish_parts(fleet, self.parts(4))
        await self.start_accepted(fleet)
        publish_parts(fleet, {**self.parts(4), "models": b"{models: [], null: 1}"})
        await self.wait_for_revisions(fleet, 1, seen=2)
        self.assertIn("is no text", str(self.events_of("EV-1102")[0]))

    @with_system(run_fleet)
    async def test_part_that_does_not_match_its_digest_is_not_used(self, fleet):
        """Guards against a mixture of the parts of two revisions."""
        publish_parts(fleet, self.parts(4))
        await self.start_accepted(fleet)
        text = encode_document(self.parts(9)["adapters-0"])
        fleet.configuration.publish(text, key="snipetrestle/adapters-0")
        fleet.configuration.publish(
            fleet.configuration.read("snipetrestle").document.replace(
                hashlib.sha256(encode_document(self.parts(4)["adapters-1"]))
                .hexdigest()
                .encode(),
                b"0" * 64,
            )
        )
        await anyio.sleep(TIMEOUT_S)
        self.assertEqual(({1}, {1}), fleet.revisions())


class ChangesTest(testtools.TestCase):
    """Applying changes gives the same result as parsing the whole document."""

    def test_random_changes_give_the_result_of_a_full_parse(self):
        """The incremental check could differ from the full check."""
        generator = random.Random(7)
        accepted = PublishedConfiguration.from_data(small_document(5))
        refused = 0
        for _ in range(300):
            changes = self.random_changes(generator)
            try:
                changed = apply_changes(accepted, changes)
            except InvalidDocument:
                changed = None
                refused += 1
            self.assertEqual(self.full_parse(accepted, changes), changed)
            accepted = changed or accepted
        self.assertTrue(50 < refused < 250, refused)

    def random_changes(self, generator):
        number = generator.randrange(8)
        adapter = {
            "name": f"adapter-{number}",
            "model": generator.choice(["base", "base", "second", "none"]),
            "versions": generator.choice([["1"], ["1", "2"], "1", []]),
        }
        return generator.choice(
            [
                Changes(puts={"adapters": [adapter]}),
                Changes(puts={"adapters": [{**adapter, "x": 1}]}),
                Changes(removals={"adapters": [f"adapter-{number}"]}),
                Changes(puts={"models": [{"name": "second"}]}),
                Changes(removals={"models": ["second"]}),
                Changes(singletons={"policy": {"load_stalls": number - 2.0}}),
                Changes(singletons={"policy": None}),
            ]
        )

    def full_parse(self, accepted, changes):
        data = msgspec.json.decode(msgspec.json.encode(accepted))
        for section, items in changes.puts.items():
            for item in items:
                names = [known["name"] for known in data[section]]
                if item["name"] in names:
                    data[section][names.index(item["name"])] = item
                else:
                    data[section].append(item)
        for section, names in changes.removals.items():
            data[section] = [
                item for item in data[section] if item["name"] not in names
            ]
        for name, value in changes.singletons.items():
            data[name] = {} if value is None else value
        try:
            return PublishedConfiguration.from_data(data)
        except InvalidDocument:
            return None

    def test_changes_from_empty_give_the_configuration(self):
        """When a new daemon fetches everything, no field may be lost."""
        configuration = PublishedConfiguration.from_data(small_document(5))
        changes = changes_from_empty(configuration)
        self.assertEqual(configuration, apply_changes(None, changes))
