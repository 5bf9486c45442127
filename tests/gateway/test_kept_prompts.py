"""Tests of the rounds in which replicas are asked what prompts they keep."""

import types

import anyio
import testtools

from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.publication.published_items import StorePosition
from snipetrestle.gateway.streams.kept_prompts import (
    LISTINGS_BURST,
    LISTINGS_PER_S,
    MAX_REPLICAS,
    MAX_TRIES,
    MIN_INTERVAL_S,
    ROUND_TIMEOUT_S,
    KeptPrompts,
)
from snipetrestle.gateway.streams.part_findings import Finding
from snipetrestle_standins.clock import run_in_virtual_time

BACKEND = "models"
MODEL = "m0"


class Log:
    """Fake RequestLines that keeps the fields of each line."""

    def __init__(self):
        self.lines = []

    def log(self, event, **fields):
        self.lines.append(fields)


class KeepingReplica:
    """Fake replica that keeps ``parts`` and answers after ``delay_s``.

    Its first listings fail by the ``errors``. It has asked for a pause until a time.
    """

    def __init__(self, number, version, parts=()):
        self.id = f"r{number}"
        self.software_version = version
        self.parts = {(MODEL, part) for part in parts}
        self.delay_s = 0.01
        self.errors = []
        self.paused_until = 0.0
        self.listed_at = []

    @property
    def pause(self):
        is_active = anyio.current_time() < self.paused_until
        return types.SimpleNamespace(is_active=is_active)

    async def list(self):
        self.listed_at.append(anyio.current_time())
        await anyio.sleep(self.delay_s)
        if self.errors:
            raise self.errors.pop(0)
        return set(self.parts)


class Reads:
    """Fake FreshReads of a store that answers at once, or not at all."""

    def __init__(self, answers=True):
        self.position = StorePosition(1, 7)
        self.incomplete_for_s = 0.0
        self._answers = answers

    async def read(self, timeout_s):
        return self._answers


class Directory:
    """Fake ReplicaDirectory of one backend."""

    def __init__(self, replicas):
        self.by_id = {replica.id: replica for replica in replicas}

    def listed_replicas(self, backend):
        return self.by_id.values() if backend == BACKEND else ()


def replicas_of(count):
    """Returns replicas of two versions in turns; number N keeps the part ``pN``."""
    return [
        KeepingReplica(number, f"v{1 + number % 2}", [f"p{number}"])
        for number in range(count)
    ]


def kept_prompts_of(replicas):
    return KeptPrompts(Directory(replicas), KeepingReplica.list, Reads(), Log())


class RoundTest(testtools.TestCase):
    def ask(self, replicas, part="p0"):
        """Returns what is known of a part, and how long that took in seconds."""

        async def main():
            kept_prompts = kept_prompts_of(replicas)
            version = await kept_prompts.only_version(BACKEND, MODEL, part)
            return version, anyio.current_time()

        return run_in_virtual_time(main)

    def test_only_version_that_keeps_a_part_is_known(self):
        """Guards against a search that misses one of many replicas."""
        replicas = replicas_of(70)
        self.assertEqual("v1", self.ask(replicas, "p68")[0])
        self.assertEqual("v2", self.ask(replicas, "p69")[0])
        self.assertEqual("", self.ask(replicas, "p70")[0])

    def test_part_of_two_versions_tells_nothing(self):
        """Guards against a guess among the versions that have read a prompt."""
        replicas = replicas_of(4)
        replicas[3].parts.add((MODEL, "p0"))
        self.assertEqual("", self.ask(replicas)[0])

    def test_silent_replica_may_keep_what_another_version_keeps(self):
        """Guards against silence taken for a replica that keeps nothing."""
        replicas = replicas_of(4)
        replicas[3].delay_s = 60.0
        version, took_s = self.ask(replicas)
        self.assertEqual("", version)
        self.assertLess(took_s, 2 * ROUND_TIMEOUT_S)
        self.assertEqual("v2", self.ask(replicas, "p1")[0])

    def test_version_that_is_not_known_tells_nothing(self):
        """Guards against a process that has taken the place of a listed one."""
        replicas = replicas_of(4)
        replicas[0].software_version = ""
        self.assertEqual("", self.ask(replicas)[0])
        replicas[2].delay_s = 60.0
        self.assertEqual("", self.ask(replicas, "p1")[0])

    def test_failed_listing_is_repeated(self):
        """Guards against a replica that counts as silent since it has closed an idle
        connection."""
        replicas = replicas_of(4)
        replicas[3].errors = [ExchangeFailed("closed")]
        self.assertEqual("v1", self.ask(replicas)[0])
        replicas[3].errors = [ConnectFailed("refused")] * 9
        replicas[3].listed_at.clear()
        self.assertEqual("", self.ask(replicas)[0])
        self.assertEqual(MAX_TRIES, len(replicas[3].listed_at))

    def test_pause_that_ends_soon_is_waited_for(self):
        """Guards against questions without an answer whenever one replica pauses, and
        against listings that reach it in its pause."""
        replicas = replicas_of(4)
        replicas[3].paused_until = 0.3
        self.assertEqual("v1", self.ask(replicas)[0])
        self.assertGreaterEqual(min(replicas[3].listed_at), 0.3)
        replicas[3].paused_until = 30.0
        replicas[3].listed_at.clear()
        self.assertEqual("", self.ask(replicas)[0])
        self.assertEqual([], replicas[3].listed_at)

    def test_replica_that_leaves_during_a_round_counts_no_more(self):
        """Guards against an ended process that hides what all others tell."""
        replicas = replicas_of(4)

        class LeavingReplica(KeepingReplica):
            async def list(self):
                directory.by_id.pop(self.id, None)
                raise ConnectFailed("refused")

        leaving = LeavingReplica(9, "v2")
        directory = Directory([*replicas, leaving])

        async def main():
            kept_prompts = KeptPrompts(
                directory, lambda replica: replica.list(), Reads(), Log()
            )
            return await kept_prompts.only_version(BACKEND, MODEL, "p0")

        self.assertEqual("v1", run_in_virtual_time(main))

    def test_process_that_replaces_another_in_a_round_may_keep_a_part(self):
        """Guards against a new process that nobody has asked, taken for one that has
        left."""
        replicas = replicas_of(4)

        async def main():
            directory = Directory(replicas)

            async def list_or_replace(replica):
                if replica is not replicas[3]:
                    return await replica.list()
                directory.by_id[replica.id] = KeepingReplica(3, "v3")
                # As Replica does it.
                replica.software_version = ""
                raise ConnectFailed("refused")

            kept_prompts = KeptPrompts(directory, list_or_replace, Reads(), Log())
            return await kept_prompts.only_version(BACKEND, MODEL, "p0")

        self.assertEqual("", run_in_virtual_time(main))

    def test_no_round_lists_a_huge_or_unknown_backend(self):
        """Guards against a round that opens thousands of connections at once."""
        replicas = replicas_of(MAX_REPLICAS + 1)
        self.assertEqual("", self.ask(replicas)[0])
        self.assertEqual([], replicas[0].listed_at)
        self.assertEqual("", self.ask([])[0])


class LineTest(testtools.TestCase):
    def line(self, replicas, parts, reads):
        """Returns the fields of the line about a round."""
        log = Log()

        async def main():
            kept_prompts = KeptPrompts(
                Directory(replicas), KeepingReplica.list, reads, log
            )
            async with anyio.create_task_group() as group:
                for part in parts:
                    group.start_soon(kept_prompts.only_version, BACKEND, MODEL, part)

        run_in_virtual_time(main)
        (line,) = log.lines
        return line

    def check(self, line, **counts):
        expected = dict.fromkeys(Finding, 0) | counts
        self.assertEqual(expected, {name: line[name] for name in expected})

    def test_line_tells_why_parts_are_not_known(self):
        """Guards against a refused take-up that cannot be traced to its cause."""
        replicas = replicas_of(6)
        replicas[3].parts.add((MODEL, "p0"))
        replicas[4].software_version = ""
        parts = ["p0", "p1", "p4", "nowhere"]
        line = self.line(replicas, parts, Reads())
        self.check(line, known=1, kept_nowhere=1, several_versions=1, unknown_version=1)
        self.assertEqual(
            (4, True, 1, 7),
            tuple(line[name] for name in ("asked", "store_read", "epoch", "revision")),
        )
        replicas[5].delay_s = 60.0
        line = self.line(replicas, ["p0", "p1", "p2", "nowhere"], Reads())
        self.check(line, known=1, several_versions=1, silent_may_keep=2)

    def test_line_tells_that_the_store_was_not_read(self):
        """Guards against a host that is cut off and seems to find no part anywhere."""
        replicas = replicas_of(4)
        line = self.line(replicas, ["p0"], Reads(answers=False))
        self.check(line)
        self.assertEqual(
            (1, False, None), (line["asked"], line["store_read"], line["epoch"])
        )
        self.assertEqual([], replicas[0].listed_at)


class CrowdTest(testtools.TestCase):
    def test_questions_share_rounds(self):
        """Guards against listings in proportion to the streams that broke off."""
        replicas = replicas_of(70)
        versions = {}

        async def ask(kept_prompts, number):
            await anyio.sleep(0.5 * number / 300)
            part = f"p{number % 70}"
            versions[number] = await kept_prompts.only_version(BACKEND, MODEL, part)

        async def main():
            kept_prompts = kept_prompts_of(replicas)
            async with anyio.create_task_group() as group:
                for number in range(300):
                    group.start_soon(ask, kept_prompts, number)

        run_in_virtual_time(main)
        self.assertEqual(
            [f"v{1 + number % 2}" for number in range(300)],
            [versions[number] for number in range(300)],
        )
        for replica in replicas:
            self.assertLessEqual(len(replica.listed_at), 3)

    def test_listings_are_bounded_while_callers_name_unknown_streams(self):
        """Guards against replicas that answer listings instead of requests."""
        replicas = replicas_of(70)
        took_s = 60.0

        async def ask_on(kept_prompts):
            while True:
                await kept_prompts.only_version(BACKEND, MODEL, "unknown")
                await anyio.sleep(0.01)

        async def main():
            kept_prompts = kept_prompts_of(replicas)
            with anyio.move_on_after(took_s):
                async with anyio.create_task_group() as group:
                    for _ in range(20):
                        group.start_soon(ask_on, kept_prompts)

        run_in_virtual_time(main)
        count = sum(len(replica.listed_at) for replica in replicas)
        self.assertLessEqual(count, LISTINGS_BURST + LISTINGS_PER_S * took_s + 70)
        self.assertGreater(count, LISTINGS_PER_S * took_s)
        times = replicas[0].listed_at
        for earlier, later in zip(times, times[1:], strict=False):
            self.assertGreaterEqual(later - earlier, MIN_INTERVAL_S - 1e-6)
