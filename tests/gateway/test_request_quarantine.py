"""Tests of the decision which single requests crash replicas, in virtual time."""

import anyio
import testtools

from snipetrestle.gateway.quarantine.prompt_quarantine import (
    OBJECTION_TIME_S,
    PromptQuarantine,
)
from snipetrestle.gateway.quarantine.request_quarantine import (
    FORGET_AFTER_S,
    MAX_CRASHES_PER_REQUEST,
    MAX_CRASHES_TO_TRY,
    MAX_LOST_REQUESTS,
    MAX_SERVED_REQUESTS,
    MIN_CRASHES,
    MIN_CRASHES_IF_SERVED,
    MIN_REPETITIONS,
    TRIAL_PAUSE_S,
    RequestQuarantine,
)
from tests.systems import in_virtual_time

# Retries that may reach replicas later than the third crash.
MAX_LATE_RETRIES = 3


class RequestQuarantineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = RequestQuarantine()
        self.crash_count = 0

    async def crash(self, *requests, times=1, interval_s=0.5):
        """Replicas crash, each with these requests before their answer began."""
        for _ in range(times):
            self.crash_count += 1
            for request in requests:
                self.quarantine.note_lost(f"replica-{self.crash_count} 1", request)
            await anyio.sleep(interval_s)

    @in_virtual_time
    async def test_request_that_was_in_two_crashes_is_refused(self):
        """Each repetition crashed one more replica."""
        await self.crash("bad", "first")
        self.assertFalse(self.quarantine.refuses("bad"))
        await self.crash("bad", "second")
        self.assertTrue(self.quarantine.refuses("bad"))
        for sound in ("first", "second", "other"):
            self.assertFalse(self.quarantine.refuses(sound))

    @in_virtual_time
    async def test_several_requests_that_crash_replicas_are_all_refused(self):
        """One of them must not be taken as the explanation of the others' crashes."""
        bad = [f"bad-{number}" for number in range(5)]
        for _ in range(MIN_CRASHES):
            for request in bad:
                await self.crash(request, f"sound-{self.crash_count}")
        for request in bad:
            self.assertTrue(self.quarantine.refuses(request))
        for number in range(self.crash_count):
            self.assertFalse(self.quarantine.refuses(f"sound-{number}"))

    @in_virtual_time
    async def test_answered_request_is_refused_no_more(self):
        """A sound request that two crashes cut off must not stay refused."""
        await self.crash("sound", times=MIN_CRASHES)
        self.assertTrue(self.quarantine.refuses("sound"))
        self.quarantine.note_served("sound")
        self.assertFalse(self.quarantine.refuses("sound"))
        await anyio.sleep(0.1)
        await self.crash("sound", times=MIN_CRASHES)
        self.assertFalse(self.quarantine.refuses("sound"))
        await self.crash("sound", times=MIN_CRASHES_IF_SERVED - MIN_CRASHES)
        self.assertTrue(self.quarantine.refuses("sound"))

    @in_virtual_time
    async def test_request_answered_after_each_crash_is_never_refused(self):
        """Equal requests of many callers are often cut off by crashes of others."""
        for _ in range(20):
            await self.crash("common")
            self.quarantine.note_served("common")
            self.assertFalse(self.quarantine.refuses("common"))

    @in_virtual_time
    async def test_replicas_that_end_at_the_same_time_are_no_evidence(self):
        """A rack without power says nothing about the requests that it was running."""
        await self.crash("sound", times=20, interval_s=0.001)
        self.assertFalse(self.quarantine.refuses("sound"))

    @in_virtual_time
    async def test_replica_that_goes_on_answering_has_not_crashed(self):
        """Replicas that reset single answers must not get their requests refused."""
        await self.crash("sound", times=MIN_CRASHES)
        self.quarantine.note_answered("replica-1 1", anyio.current_time())
        self.assertFalse(self.quarantine.refuses("sound"))
        # Another host does not know this yet.
        self.quarantine.learn_lost("replica-1 1", "sound", 0.0)
        self.assertFalse(self.quarantine.refuses("sound"))

    @in_virtual_time
    async def test_trials_end_before_too_many_replicas_have_crashed(self):
        """Each trial of a request that crashes replicas takes one more with it."""
        await self.crash("bad", times=MIN_CRASHES)
        trials = []
        for _ in range(3600):
            self.quarantine.note_requested("bad")
            if self.quarantine.starts_trial("bad"):
                trials.append(anyio.current_time())
                await self.crash("bad", interval_s=0.0)
            await anyio.sleep(1.0)
        self.assertEqual(MAX_CRASHES_TO_TRY - MIN_CRASHES, len(trials))
        late = self.crash_count - MIN_CRASHES_IF_SERVED
        self.assertLessEqual(late, MAX_LATE_RETRIES)
        self.assertGreater(trials[0], TRIAL_PAUSE_S)
        self.assertTrue(self.quarantine.refuses("bad"))

    @in_virtual_time
    async def test_refused_request_is_forgotten_when_it_no_longer_comes(self):
        """What hosts know must not grow for ever, nor be lost while it is needed."""
        await self.crash("bad", times=MIN_CRASHES)
        await anyio.sleep(FORGET_AFTER_S - 10)
        self.quarantine.note_requested("bad")
        await anyio.sleep(FORGET_AFTER_S - 10)
        self.assertTrue(self.quarantine.refuses("bad"))
        await anyio.sleep(20)
        self.assertFalse(self.quarantine.refuses("bad"))
        self.assertEqual([], self.quarantine.telling_requests(3.0, 100))

    @in_virtual_time
    async def test_known_requests_are_bounded_and_refused_ones_kept(self):
        """A crash loop of all replicas must not fill the memory of the hosts."""
        await self.crash("bad", times=MIN_CRASHES)
        for number in range(MAX_SERVED_REQUESTS + 10):
            self.quarantine.note_served(f"served-{number}")
        for number in range(2 * MAX_LOST_REQUESTS):
            self.quarantine.note_lost(f"other-{number % 50} 1", f"lost-{number}")
        told = self.quarantine.telling_requests(3.0, 10 * MAX_LOST_REQUESTS)
        self.assertEqual(MAX_LOST_REQUESTS, len(told))
        self.assertEqual("bad", told[0])
        self.assertIsNone(self.quarantine.served_at("served-0"))
        self.assertIsNotNone(self.quarantine.served_at("served-100"))
        await self.crash("bad", times=2 * MAX_CRASHES_PER_REQUEST)
        self.assertEqual(MAX_CRASHES_PER_REQUEST, len(self.quarantine.losses("bad")))


class RequestExplainsPartsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.requests = RequestQuarantine()
        self.prompts = PromptQuarantine(requests=self.requests)
        self.crash_count = 0

    def lose(self, request, *parts):
        crash = f"replica-{self.crash_count} 1"
        self.requests.note_lost(crash, request)
        self.prompts.note_lost(crash, parts)

    async def crash(self, request, *parts):
        self.crash_count += 1
        self.lose(request, *parts)
        await anyio.sleep(0.5)

    @in_virtual_time
    async def test_parts_of_one_request_that_crashes_replicas_are_not_refused(self):
        """All prompts of its caller were refused (ksr-lab, deadly, seed 1)."""
        for _ in range(4):
            await self.crash("bad", "system", "customer")
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.requests.refuses("bad"))
        self.assertFalse(self.prompts.refuses(("system", "customer")))
        self.assertFalse(self.prompts.forbids_retry(("system", "customer")))

    @in_virtual_time
    async def test_part_that_crashes_replicas_is_found_among_refused_requests(self):
        """Each of its requests is refused too, and must not hide the part."""
        self.prompts.note_served(("system", "customer"))
        for request in ("first", "first", "second"):
            await self.crash(request, "system", "customer", "bad")
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.prompts.refuses(("system", "customer", "bad")))
        self.assertFalse(self.prompts.refuses(("system", "customer")))

    @in_virtual_time
    async def test_part_lost_beside_a_repeated_request_is_not_refused(self):
        """23 sound requests of a caller were refused (taglia-sicilia, deadly-two)."""
        for _ in range(MIN_CRASHES):
            await self.crash("bad", "system", "customer")
            self.lose("sound", "system", "rare")
        for number in range(2):
            await self.crash(f"other-{number}", "system", "rare")
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.prompts.refuses(("system", "rare")))
        for _ in range(MIN_REPETITIONS):
            self.requests.note_requested("bad")
        self.assertFalse(self.prompts.refuses(("system", "rare")))

    @in_virtual_time
    async def test_repetitions_of_its_requests_do_not_hide_a_part_that_crashes_replicas(
        self,
    ):
        """Callers repeat a refused request a few times."""
        for number in range(6):
            await self.crash(f"{number // 2}", "system", "customer", "bad")
            for _ in range(MIN_REPETITIONS - 1):
                self.requests.note_requested(f"{number // 2}")
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.prompts.refuses(("system", "customer", "bad")))
