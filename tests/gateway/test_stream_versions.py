"""Tests of streams while replicas of several software versions serve."""

import asyncio

import testtools

from snipetrestle_standins.gateway_fleet import Caller, GatewayFleet
from snipetrestle_standins.platform_replica import Fault
from tests.gateway.running import run_fleet
from tests.systems import with_system
from tests.waiting import wait_until

ALL_EVENT_IDS = [1, 2, 3, 4, 5, 6]


def run_versions(function, versions, **options):
    """Runs ``function`` against a fleet whose model replicas have these versions."""
    return run_fleet(
        function,
        models=len(versions),
        model_versions=versions,
        history_s=20.0,
        **options,
    )


def versions_of_runs(fleet, request_ids):
    """Returns the versions of the replicas at which some requests ran, in order."""
    return {
        replica.software_version
        for replica in fleet.models
        for request_id, _ in replica.runs
        if request_id in request_ids
    }


def slow_down(fleet):
    """Lets streams last long enough for callers to leave before the last event."""
    for replica in fleet.models:
        replica.event_interval_s = 0.02


async def begin_stream(gateway, request_id, events=2, headers=(), **options):
    """Reads the first events of a stream, and closes the connection.

    Returns the id of the last event.
    """
    async with Caller(gateway.settings.callers) as caller:
        reader, caller.reader = caller.reader, asyncio.StreamReader()
        headers = [("X-Request-Id", request_id), *headers]
        sending = asyncio.create_task(
            caller.send_request("/draft/a", headers=headers, **options)
        )
        body = b""
        while body.count(b"id: ") < events or not body.endswith(b"\n\n\r\n"):
            body += await reader.read(1)
        sending.cancel()
    ids = [int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")]
    return ids[-1]


async def heal_once_run(fleet, request_id):
    """Clears the faults of all replicas once a request runs at one of them."""
    await wait_until(lambda: versions_of_runs(fleet, {request_id}))
    for replica in fleet.models:
        replica.faults.clear()


def take_up(fleet, gateway, began_as, last_event_id, request_id, headers=(), **options):
    """Takes a stream up; returns the Response."""
    headers = [
        *headers,
        ("X-Request-Id", request_id),
        ("Resumes", began_as),
        ("Last-Event-Id", str(last_event_id)),
    ]
    return fleet.send_request("/draft/a", gateway, headers=headers, **options)


class OneAnswerTest(testtools.TestCase):
    """Streams whose replica fails while the host forwards them."""

    def run_broken(self, versions, adapter="a7", fault=Fault.RESET_IN_RESPONSE):
        """Breaks 12 streams in their third event; returns their Responses and fleet."""

        async def check(fleet):
            answers = []
            for number in range(12):
                for replica in fleet.models:
                    replica.faults[:] = [fault]
                request_id = f"stream-{number}"
                healing = asyncio.create_task(heal_once_run(fleet, request_id))
                answer = await fleet.send_request(
                    "/draft/a",
                    adapter=adapter,
                    headers=[("X-Request-Id", request_id)],
                )
                await healing
                answers.append((answer, versions_of_runs(fleet, {request_id})))
            return answers

        return run_versions(check, versions)

    def test_broken_stream_goes_on_at_no_other_version(self):
        """Guards against a stream joined from two software versions in one answer."""
        for answer, versions in self.run_broken(["v1", "v2"]):
            self.assertEqual(1, len(versions), versions)
            # It goes back to the replica that broke it off, the only one of its version.
            self.assertEqual(ALL_EVENT_IDS, answer.event_ids)

    def test_broken_stream_goes_on_at_its_own_version(self):
        """Guards against streams that end though a replica could go on with them."""
        answers = self.run_broken(["v1", "v1", "v2", "v2"])
        for _, versions in answers:
            self.assertEqual(1, len(versions), versions)
        for answer, _ in answers:
            self.assertTrue(answer.complete)
            self.assertEqual(ALL_EVENT_IDS, answer.event_ids)

    def test_broken_stream_of_an_unknown_version_goes_on_nowhere(self):
        """Guards against a guess about replicas that name no version."""
        for answer, _ in self.run_broken(["", ""]):
            self.assertFalse(answer.complete)


class DarkReplicaTest(testtools.TestCase):
    """Streams whose replica goes dark, and whose address another id takes."""

    async def break_stream(self, fleet, successor_version, publish):
        """Returns the answer of a stream whose replica goes dark, and its duration.

        ``publish(fleet, successor)`` publishes what has taken the address.
        """
        for replica in fleet.models:
            replica.event_interval_s = 0.1
        started = asyncio.get_running_loop().time()
        sending = asyncio.create_task(fleet.send_request("/draft/a", adapter=""))
        await wait_until(lambda: any(replica.runs for replica in fleet.models))
        dark = next(replica for replica in fleet.models if replica.runs)
        await asyncio.sleep(0.25)
        dark.go_dark()
        # An idle connection to the dark process would lead to no answer.
        fleet.live[0].replicas.by_id[dark.id].pool.close()
        successor = await dark.start_successor("model-new")
        successor.software_version = successor_version
        successor.checks_reports = False
        fleet.models.append(successor)
        publish(fleet, successor)
        answer = await sending
        self.assertEqual([], successor.runs)
        return answer, asyncio.get_running_loop().time() - started

    def assert_whole(self, answer, duration_s):
        self.assertEqual((True, ALL_EVENT_IDS), (answer.complete, answer.event_ids))
        # The deadline of the route is 5 s.
        self.assertLess(duration_s, 3.5)

    @with_system(run_versions, ["v1", "v1"])
    async def test_stream_goes_on_beside_another_id_at_the_address(self, fleet):
        """Guards against a process of another id taken for one under the same id."""
        answer = await self.break_stream(fleet, "v9", GatewayFleet.publish)
        self.assert_whole(*answer)

    @with_system(run_versions, ["v1", "v1"])
    async def test_late_entry_of_the_other_id_is_read_from_the_store(self, fleet):
        """Guards against a refusal since this host's list is older than the report."""
        check = fleet.live[0].process_check
        read_report = check._read_report
        unpublished = []

        async def publish_after_report(replica):
            report = await read_report(replica)
            if unpublished and report.boot != replica.entry.boot:
                fleet.publish(unpublished.pop())
            return report

        check._read_report = publish_after_report
        answer = await self.break_stream(
            fleet, "v9", lambda fleet, successor: unpublished.append(successor)
        )
        self.assertEqual([], unpublished)
        self.assert_whole(*answer)

    @with_system(run_versions, ["v1", "v1"])
    async def test_process_that_nobody_lists_may_have_the_same_id(self, fleet):
        """Guards against a guess about a process whose entry the store does not have."""
        answer, _ = await self.break_stream(fleet, "v9", lambda fleet, successor: None)
        self.assertFalse(answer.complete)


class TakeUpTest(testtools.TestCase):
    """Streams that their callers take up after a broken connection."""

    def take_up_often(self, versions, gateways=2, **options):
        """Takes 8 streams up at another gateway; returns (status, versions) of each."""

        async def check(fleet):
            slow_down(fleet)
            results = []
            for number in range(8):
                began_as, again_as = f"first-{number}", f"again-{number}"
                last_id = await begin_stream(fleet.live[0], began_as, **options)
                answer = await take_up(
                    fleet, fleet.live[-1], began_as, last_id, again_as, **options
                )
                ran = versions_of_runs(fleet, {began_as, again_as})
                results.append((answer.status, ran))
            return results

        return run_versions(check, versions, gateways=gateways)

    def test_stream_is_taken_up_at_its_version_by_another_host(self):
        """Guards against a stream joined from two versions over a caller's requests."""
        results = self.take_up_often(["v1", "v2"], adapter="a7")
        self.assertEqual([(200, 1)] * 8, [(item, len(ran)) for item, ran in results])

    def test_stream_of_the_base_model_is_taken_up_at_its_version(self):
        """Guards against a search for a replica without an adapter that skips versions."""
        results = self.take_up_often(["v1", "v2"], adapter="")
        self.assertEqual([(200, 1)] * 8, [(item, len(ran)) for item, ran in results])

    def test_adapter_is_loaded_again_at_the_version_of_the_stream(self):
        """Guards against a take-up at the version that happens to hold the adapter."""

        async def check(fleet):
            slow_down(fleet)
            last_id = await begin_stream(fleet.live[0], "first", adapter="a7")
            began_at = next(replica for replica in fleet.models if replica.runs)
            began_at.boot += 1
            began_at.restart()
            fleet.publish(began_at)
            # Whichever replica is free gets the adapter meanwhile.
            await fleet.send_request("/draft/a", adapter="a7")
            answer = await take_up(
                fleet, fleet.live[-1], "first", last_id, "again", adapter="a7"
            )
            return answer, versions_of_runs(fleet, {"first", "again"})

        answer, versions = run_versions(check, ["v1", "v2"], gateways=2)
        self.assertEqual((200, 1), (answer.status, len(versions)))

    def test_unknown_stream_is_refused_while_versions_mix(self):
        """Guards against a guess which version began a stream that nobody knows."""

        def check(fleet):
            return take_up(
                fleet, fleet.live[0], "never-began", 2, "again", adapter="a7"
            )

        answer = run_versions(check, ["v1", "v2"])
        self.assertEqual(503, answer.status)

    def test_stream_is_taken_up_though_its_host_was_killed(self):
        """Guards against streams lost with the only host that knows what began them."""

        async def check(fleet):
            slow_down(fleet)
            gateway = fleet.live[0]
            began = []
            for number in range(6):
                began_as = f"first-{number}"
                last_id = await begin_stream(gateway, began_as, adapter="")
                began.append((began_as, last_id))
            await fleet.kill(gateway)
            results = []
            for began_as, last_id in began:
                again_as = f"again-{began_as}"
                answer = await take_up(
                    fleet, fleet.live[-1], began_as, last_id, again_as, adapter=""
                )
                ran = versions_of_runs(fleet, {began_as, again_as})
                results.append((answer.status, len(ran)))
            return results

        results = run_versions(check, ["v1", "v2"], gateways=3)
        self.assertEqual([(200, 1)] * 6, results)

    def take_up_after_restart(self, versions, leaving=(), headers=(), prepare=None):
        """Kills all hosts and starts one; returns the Response of a take-up there.

        Replicas of the versions ``leaving`` are deleted from the store before, and
        ``prepare(fleet)`` is called. Returns the versions of both runs as well.
        """

        async def check(fleet):
            slow_down(fleet)
            fleet.store.claim_complete_history()
            last_id = await begin_stream(
                fleet.live[0], "first", adapter="", headers=list(headers)
            )
            if prepare is not None:
                prepare(fleet)
            for replica in fleet.models:
                if replica.software_version in leaving:
                    fleet.store.delete(f"servers/{replica.id}")
            for gateway in fleet.live:
                await fleet.kill(gateway)
            fleet.start_gateway(0)
            await fleet.wait_ready()
            answer = await take_up(
                fleet,
                fleet.live[0],
                "first",
                last_id,
                "again",
                adapter="",
                headers=list(headers),
            )
            return answer, versions_of_runs(fleet, {"first", "again"})

        return run_versions(check, versions)

    def test_stream_of_the_only_version_goes_on_after_all_hosts_were_killed(self):
        """Guards against streams that end though only one version can have begun them."""
        answer, _ = self.take_up_after_restart(["v1", "v1"])
        self.assertEqual((200, True), (answer.status, answer.complete))

    def test_no_stream_goes_on_if_two_versions_may_have_begun_it(self):
        """Guards against a guess after all hosts that knew the stream were killed."""
        answer, _ = self.take_up_after_restart(["v1", "v2"])
        self.assertEqual(503, answer.status)

    def test_replica_that_keeps_the_prompt_tells_its_version(self):
        """Guards against streams that end though a replica shows that it began them."""
        prompt = [("X-Prompt-Prefix", "shared:10,own:5")]
        answer, versions = self.take_up_after_restart(["v1", "v2"], headers=prompt)
        self.assertEqual(
            (200, True, 1), (answer.status, answer.complete, len(versions))
        )

    def test_prompt_kept_at_two_versions_tells_nothing(self):
        """Guards against a guess among the replicas that have read a prompt."""

        def keep_everywhere(fleet):
            for replica in fleet.models:
                replica.kept_parts.add("own")

        prompt = [("X-Prompt-Prefix", "shared:10,own:5")]
        answer, _ = self.take_up_after_restart(
            ["v1", "v2"], headers=prompt, prepare=keep_everywhere
        )
        self.assertEqual(503, answer.status)

    @with_system(run_versions, ["v1", "v1", "v2"])
    async def test_replica_that_has_asked_for_a_pause_is_not_asked(self, fleet):
        """Guards against reports and listings that reach a replica in its pause."""
        slow_down(fleet)
        prompt = [("X-Prompt-Prefix", "shared:10,own:5")]
        last_id = await begin_stream(fleet.live[0], "first", adapter="", headers=prompt)
        began_at = next(replica for replica in fleet.models if replica.runs)
        gateway = fleet.live[0]
        paused = gateway.replicas.by_id[began_at.id]
        paused.pause.note(30.0)
        asked = []
        report = gateway.process_check._read_report
        kept_prompts = gateway.kept_prompts

        async def note_report(replica):
            asked.append(replica.id)
            return await report(replica)

        gateway.process_check._read_report = note_report
        kept_prompts._read_kept_parts = note_report
        for began_as in ("first", "unknown"):
            await take_up(
                fleet,
                gateway,
                began_as,
                last_id,
                "again",
                adapter="",
                headers=prompt,
            )
        self.assertNotIn(began_at.id, asked)

    def test_replica_that_does_not_list_its_prompts_may_keep_one(self):
        """Guards against a replica without an answer taken for one without a prompt."""

        def hide_others(fleet):
            for replica in fleet.models:
                replica.lists_kept_parts = bool(replica.runs)

        prompt = [("X-Prompt-Prefix", "shared:10,own:5")]
        answer, _ = self.take_up_after_restart(
            ["v1", "v2"], headers=prompt, prepare=hide_others
        )
        self.assertEqual(503, answer.status)

    def test_no_stream_goes_on_if_its_version_may_have_left(self):
        """Guards against a stream that goes on at the version that came after its own."""
        answer, _ = self.take_up_after_restart(["v1", "v2"], leaving=["v1"])
        self.assertEqual(503, answer.status)

    def test_stream_is_refused_at_once_without_a_replica_of_its_version(self):
        """Guards against a caller that waits for a version that does not come back."""

        async def check(fleet):
            slow_down(fleet)
            last_id = await begin_stream(fleet.live[0], "first", adapter="")
            began_at = next(replica for replica in fleet.models if replica.runs)
            # Another process under the same id.
            began_at.boot += 1
            began_at.software_version = "v3"
            fleet.publish(began_at)
            await wait_until(
                lambda: (
                    fleet.live[0].replicas.by_id[began_at.id].entry.software_version
                    == "v3"
                )
            )
            started = asyncio.get_running_loop().time()
            answer = await take_up(
                fleet, fleet.live[0], "first", last_id, "again", adapter=""
            )
            return answer, asyncio.get_running_loop().time() - started

        answer, duration_s = run_versions(check, ["v1", "v2"])
        self.assertEqual(503, answer.status)
        self.assertNotIn("retry-after", answer.headers)
        # The deadline of the route is 5 s.
        self.assertLess(duration_s, 2.5)

    def run_with_unlisted_restart(self, choose, versions):
        """Restarts a replica whose new entry is late; returns the status of a take-up.

        ``choose(replicas, began_at)`` returns the replica. Its new process must not run
        the request.
        """

        async def check(fleet):
            slow_down(fleet)
            last_id = await begin_stream(fleet.live[0], "first", adapter="")
            began_at = next(replica for replica in fleet.models if replica.runs)
            restarted = choose(fleet.models, began_at)
            restarted.boot += 1
            restarted.software_version = "v9"
            answer = await take_up(
                fleet, fleet.live[0], "first", last_id, "again", adapter=""
            )
            self.assertNotIn("again", [run[0] for run in restarted.runs])
            return answer.status

        return run_versions(check, versions)

    def test_stream_of_a_process_that_was_replaced_may_have_begun_there(self):
        """Guards against the version of an entry taken for that of a later process."""
        status = self.run_with_unlisted_restart(
            lambda replicas, began_at: began_at, ["v1", "v1"]
        )
        self.assertEqual(503, status)

    def test_stream_goes_on_at_no_process_that_was_replaced(self):
        """Guards against a stream sent to a process that its entry does not describe."""

        def other(replicas, began_at):
            return next(item for item in replicas if item is not began_at)

        status = self.run_with_unlisted_restart(other, ["v1", "v1"])
        self.assertEqual(200, status)

    def test_replica_that_was_replaced_before_its_first_event_records_nothing(self):
        """Guards against the version of an earlier process in the record of a stream."""

        async def check(fleet):
            replaced, other = fleet.models
            other.refuses_requests = True
            model = replaced.model
            replaced.restart()
            replaced.model = model
            replaced.boot += 1
            replaced.software_version = "v2"
            replaced.event_interval_s = 0.4
            # This host still knows the earlier process, and sends to its address.
            beginning = asyncio.create_task(
                begin_stream(fleet.live[0], "first", events=1, adapter="")
            )
            await wait_until(lambda: replaced.runs)
            fleet.publish(replaced)
            by_id = fleet.live[0].replicas.by_id
            await wait_until(lambda: by_id[replaced.id].entry.software_version == "v2")
            self.assertFalse(beginning.done())
            last_id = await beginning
            other.refuses_requests = False
            return await take_up(
                fleet, fleet.live[0], "first", last_id, "again", adapter=""
            )

        answer = run_versions(check, ["v1", "v1"])
        self.assertEqual(503, answer.status)

    @with_system(run_versions, ["v1", "v2"])
    async def test_stream_of_another_request_is_not_known(self, fleet):
        """Guards against a caller that goes on with the stream of another request."""
        slow_down(fleet)
        last_id = await begin_stream(fleet.live[0], "first", adapter="")
        for options in ({"adapter": "a7"}, {"adapter": "", "body": b"other"}):
            answer = await take_up(
                fleet, fleet.live[0], "first", last_id, "again", **options
            )
            self.assertEqual(503, answer.status, options)


class ManyReplicasTest(testtools.TestCase):
    """Restarts of all hosts while the replicas are too many for each host to list."""

    # Above kept_prompt_questions.MAX_OWN_REPLICAS.
    VERSIONS = ["v1"] * 18 + ["v2"] * 18

    def take_up_after_restart(self, wait_ready, prepare=None):
        """Begins 12 streams, restarts all hosts, and takes the streams up.

        ``wait_ready(fleet)`` waits for the hosts. Returns (status, number of versions
        that ran it) of each stream.
        """

        async def take_up_one(fleet, number, last_id):
            began_as, again_as = f"first-{number}", f"again-{number}"
            answer = await take_up(
                fleet,
                fleet.live[number % len(fleet.live)],
                began_as,
                last_id,
                again_as,
                adapter="",
                headers=prompt_of(number),
            )
            ran = versions_of_runs(fleet, {began_as, again_as})
            return answer.status, len(ran)

        async def check(fleet):
            slow_down(fleet)
            last_ids = [
                await begin_stream(
                    fleet.live[0],
                    f"first-{number}",
                    adapter="",
                    headers=prompt_of(number),
                )
                for number in range(12)
            ]
            for gateway in fleet.live:
                await fleet.kill(gateway)
            if prepare is not None:
                prepare(fleet)
            for number in range(3):
                fleet.start_gateway(number)
            await wait_ready(fleet)
            return await asyncio.gather(
                *(
                    take_up_one(fleet, number, last_id)
                    for number, last_id in enumerate(last_ids)
                )
            )

        return run_versions(check, self.VERSIONS, gateways=3)

    def test_streams_go_on_after_a_restart_of_all_hosts(self):
        """Guards against streams that end since no host may list so many replicas."""
        results = self.take_up_after_restart(lambda fleet: fleet.wait_ready())
        self.assertEqual([(200, 1)] * 12, results)

    def test_streams_taken_up_before_the_election_go_on(self):
        """Guards against streams that end since their callers come back early."""

        async def wait_ready(fleet):
            for gateway in fleet.live:
                await gateway.state.ready.wait()
            self.assertEqual([], fleet.leaders())

        results = self.take_up_after_restart(wait_ready)
        self.assertEqual([(200, 1)] * 12, results)

    def test_prompt_that_both_versions_may_keep_tells_nothing(self):
        """Guards against a guess of the leader if a replica does not answer it."""

        def hide_one_of_each(fleet):
            for replica in (fleet.models[0], fleet.models[-1]):
                replica.lists_kept_parts = False

        results = self.take_up_after_restart(
            lambda fleet: fleet.wait_ready(), hide_one_of_each
        )
        self.assertEqual([503] * 12, [status for status, _ in results])


def prompt_of(number):
    return [("X-Prompt-Prefix", f"shared:10,own-{number}:5")]


class BadTakeUpTest(testtools.TestCase):
    def send(self, *headers, path="/draft/a", versions=("v1",)):
        """Sends a request with headers; returns its Response and the fleet's runs."""

        async def check(fleet):
            fleet.store.claim_complete_history()
            adapter = "" if path.startswith("/draft") else None
            answer = await fleet.send_request(path, adapter=adapter, headers=headers)
            return answer, [run for item in fleet.replicas for run in item.runs]

        return run_versions(check, list(versions))

    def test_malformed_name_of_a_stream_is_refused(self):
        """Guards against a guess which stream a caller means."""
        event = ("Last-Event-Id", "2")
        for headers in (
            [event, ("Resumes", "a"), ("Resumes", "b")],
            [event, ("Resumes", "")],
            [event, ("Resumes", "x" * 257)],
            [("Resumes", "a")],
        ):
            answer, runs = self.send(*headers)
            self.assertEqual((400, []), (answer.status, runs), headers)

    def test_stream_is_taken_up_by_its_last_event_alone(self):
        """Guards against a refusal of callers that do not name the first request."""
        answer, _ = self.send(("Last-Event-Id", "2"), versions=["v1", "v1"])
        self.assertEqual((200, [3, 4, 5, 6]), (answer.status, answer.event_ids))

    def test_last_event_alone_is_refused_while_versions_mix(self):
        """Guards against a guess which version began a stream that has no name."""
        answer, runs = self.send(("Last-Event-Id", "2"), versions=["v1", "v2"])
        self.assertEqual((503, []), (answer.status, runs))

    def test_header_means_nothing_on_other_routes(self):
        """Guards against calls refused for a header that is meant for streams."""
        answer, _ = self.send(("Resumes", ""), path="/entry/a")
        self.assertEqual(200, answer.status)
