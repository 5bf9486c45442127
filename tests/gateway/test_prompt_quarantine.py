"""Tests of the decision which prompts crash replicas, in virtual time."""

import anyio
import testtools

from snipetrestle.gateway.quarantine.prompt_quarantine import (
    FORGET_AFTER_S,
    MAX_LOST_PROMPTS,
    MAX_LOST_PROMPTS_PER_CRASH,
    MAX_SERVED_PARTS,
    MIN_CRASHES,
    MIN_CRASHES_IF_SERVED,
    OBJECTION_TIME_S,
    TRIAL_PAUSE_IF_SERVED_S,
    TRIAL_PAUSE_S,
    LostPrompt,
    PromptQuarantine,
)
from tests.systems import in_virtual_time

GOOD = ("system", "customer")
BAD = ("system", "customer", "bad")


class PromptQuarantineTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.quarantine = PromptQuarantine()
        self.crash_count = 0

    async def crash(self, *prompts, times=1, interval_s=0.5):
        """Replicas crash, each with these prompts before their first event."""
        for _ in range(times):
            self.crash_count += 1
            for prompt in prompts:
                self.quarantine.note_lost(f"replica-{self.crash_count} 1", prompt)
            await anyio.sleep(interval_s)

    @in_virtual_time
    async def test_part_common_to_all_crashes_is_refused(self):
        """Its prompts crash one replica after the other."""
        self.quarantine.note_served(GOOD)
        await self.crash(BAD, GOOD, times=MIN_CRASHES - 1)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertFalse(self.quarantine.refuses(BAD))
        await self.crash(BAD, GOOD)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        self.assertTrue(self.quarantine.refuses(("other", "bad", "more")))
        self.assertFalse(self.quarantine.refuses(GOOD))
        self.assertFalse(self.quarantine.refuses(()))

    @in_virtual_time
    async def test_retries_end_before_the_part_is_refused(self):
        """The retry of a lost request crashed a second replica."""
        await self.crash(BAD)
        self.assertFalse(self.quarantine.forbids_retry(BAD))
        await self.crash(BAD)
        self.assertTrue(self.quarantine.forbids_retry(BAD))

    @in_virtual_time
    async def test_parts_that_were_always_lost_together_are_refused_only_together(self):
        """A customer must not be refused for the one bad prompt of his."""
        await self.crash(BAD, times=MIN_CRASHES)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        self.assertFalse(self.quarantine.refuses(GOOD))
        self.assertFalse(self.quarantine.refuses(("bad",)))
        await self.crash(("bad", "other"))
        self.assertTrue(self.quarantine.refuses(("bad",)))

    @in_virtual_time
    async def test_outage_of_all_replicas_does_not_refuse_common_parts(self):
        """While all replicas crash on a bad prompt, no prompt at all is served."""
        self.quarantine.note_served(GOOD)
        await self.crash(BAD, GOOD, ("system", "other"), times=20, interval_s=0.2)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        self.assertFalse(self.quarantine.refuses(GOOD))
        self.assertFalse(self.quarantine.refuses(("system",)))

    @in_virtual_time
    async def test_outage_soon_after_the_start_does_not_refuse_common_parts(self):
        """All replicas crashed before a route was served for the first time, and its
        common part stayed refused: 403 of 578 sound requests (taglia-sicilia-grown)."""
        for number in range(20):
            sound = [("night", f"c{(number + i) % 7}") for i in range(3)]
            others = [("system", f"d{(number + i) % 5}") for i in range(2)]
            await self.crash(BAD, *sound, *others, interval_s=0.15)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        for prompt in (("night", "c1"), ("system", "d1"), ("night",), ("system",)):
            self.assertFalse(self.quarantine.refuses(prompt), prompt)

    @in_virtual_time
    async def test_replicas_that_end_at_the_same_time_are_no_evidence(self):
        """A rack without power says nothing about the prompts that it was reading."""
        await self.crash(GOOD, times=20, interval_s=0.001)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertFalse(self.quarantine.refuses(GOOD))

    @in_virtual_time
    async def test_one_replica_that_resets_streams_is_no_evidence(self):
        """A replica that fails part of its requests is one cause, however often."""
        for _ in range(20):
            self.quarantine.note_lost("replica-1 1", GOOD)
            await anyio.sleep(0.5)
        self.assertFalse(self.quarantine.refuses(GOOD))

    @in_virtual_time
    async def test_replica_that_goes_on_answering_has_not_crashed(self):
        """Replicas that lost answers by a reset were taken for crashed ones, and seven
        streams of a day were not retried (trouble-1 of ncbfa-fleet)."""
        for number in range(MIN_CRASHES + 2):
            crash = f"replica-{number} 1"
            self.quarantine.note_lost(crash, BAD)
            await anyio.sleep(0.3)
            self.quarantine.note_answered(crash, anyio.current_time() - 0.1)
            # Another host does not know this yet.
            lost = LostPrompt(crash, frozenset(BAD), anyio.current_time() - 0.3, 0)
            self.quarantine.learn_lost(lost)
            self.assertFalse(self.quarantine.forbids_retry(BAD))
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertFalse(self.quarantine.refuses(BAD))

    @in_virtual_time
    async def test_answer_to_an_earlier_request_does_not_disprove_a_crash(self):
        """The events of other streams may arrive just before the crash."""
        for number in range(MIN_CRASHES):
            sent_at = anyio.current_time()
            await anyio.sleep(0.3)
            self.quarantine.note_lost(f"replica-{number} 1", BAD)
            self.quarantine.note_answered(f"replica-{number} 1", sent_at)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))

    @in_virtual_time
    async def test_served_part_is_refused_no_more(self):
        """Prompts must not stay refused that replicas can answer."""
        await self.crash(BAD, times=MIN_CRASHES)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        self.quarantine.note_served(BAD)
        self.assertFalse(self.quarantine.refuses(BAD))
        self.assertFalse(self.quarantine.forbids_retry(BAD))

    @in_virtual_time
    async def test_part_that_begins_to_crash_replicas_is_refused(self):
        """New software of the replicas may crash on what it used to serve."""
        self.quarantine.note_served(BAD)
        await anyio.sleep(1.0)
        for _ in range(MIN_CRASHES_IF_SERVED):
            await self.crash(BAD)
            self.quarantine.note_served(GOOD)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        self.assertFalse(self.quarantine.refuses(GOOD))

    @in_virtual_time
    async def test_new_prompts_do_not_hide_a_part_that_begins_to_crash_replicas(self):
        """A replica nearly always has some prompt with parts that were never served
        before, and each of them seemed to explain its crash."""
        self.quarantine.note_served(BAD)
        await anyio.sleep(1.0)
        for number in range(MIN_CRASHES_IF_SERVED):
            await self.crash(BAD, ("system", f"new-{number}"))
            self.quarantine.note_served(GOOD)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        self.assertFalse(self.quarantine.refuses(GOOD))

    def trials(self, seconds):
        """Counts the trials of a bad prompt that is requested ten times a second.

        Each of them crashes a replica.
        """

        async def count():
            trials = 0
            for _ in range(seconds * 10):
                if self.quarantine.starts_trial(BAD):
                    trials += 1
                    await self.crash(BAD, interval_s=0.0)
                await anyio.sleep(0.1)
            return trials

        return count()

    @in_virtual_time
    async def test_trials_of_a_refused_prompt_become_rare(self):
        """Trials crash replicas too, but without any a mistake would stay for ever."""
        await self.crash(BAD, times=MIN_CRASHES)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertEqual(0, await self.trials(round(TRIAL_PAUSE_S) - 5))
        self.assertEqual(1, await self.trials(30))
        self.assertEqual(1, await self.trials(60))
        self.assertEqual(1, await self.trials(120))

    @in_virtual_time
    async def test_prompt_that_was_served_before_is_tried_soon(self):
        """It may have been lost in an outage that had another cause."""
        self.quarantine.note_served(BAD)
        await anyio.sleep(1.0)
        await self.crash(BAD, times=MIN_CRASHES_IF_SERVED)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
        await anyio.sleep(TRIAL_PAUSE_IF_SERVED_S)
        self.assertTrue(self.quarantine.starts_trial(BAD))
        self.assertFalse(self.quarantine.starts_trial(BAD))
        self.quarantine.note_served(BAD)
        self.assertFalse(self.quarantine.refuses(BAD))

    @in_virtual_time
    async def test_refused_part_is_forgotten_when_nobody_asks_for_it(self):
        """What hosts know must not grow for ever, nor be lost while it is needed."""
        await self.crash(BAD, times=MIN_CRASHES)
        await anyio.sleep(FORGET_AFTER_S - 10)
        self.quarantine.note_requested(BAD)
        await anyio.sleep(FORGET_AFTER_S - 10)
        self.assertTrue(self.quarantine.refuses(BAD))
        await anyio.sleep(20)
        self.assertFalse(self.quarantine.refuses(BAD))
        self.assertEqual([], self.quarantine.telling_prompts(3.0, 100))

    @in_virtual_time
    async def test_known_prompts_are_bounded(self):
        """A crash loop of all replicas must not fill the memory of the hosts."""
        for number in range(MAX_SERVED_PARTS + 10):
            self.quarantine.note_served((f"part-{number}",))
        await self.crash(BAD, times=MIN_CRASHES)
        await anyio.sleep(OBJECTION_TIME_S)
        for crash in range(MAX_LOST_PROMPTS):
            for number in range(MAX_LOST_PROMPTS_PER_CRASH * 2):
                self.quarantine.note_lost(f"other-{crash}", (f"p{number}",))
        prompts = self.quarantine.telling_prompts(3.0, 10 * MAX_LOST_PROMPTS)
        self.assertLessEqual(len(prompts), MAX_LOST_PROMPTS)
        self.assertTrue(self.quarantine.refuses(BAD))
        served = self.quarantine.served_at_by_part(
            f"part-{number}" for number in range(MAX_SERVED_PARTS + 10)
        )
        self.assertEqual(MAX_SERVED_PARTS, len(served))

    @in_virtual_time
    async def test_most_telling_prompts_of_a_crash_are_kept(self):
        """The bad prompt must be found among many that the same replica lost."""
        for number in range(100):
            self.quarantine.note_served(("system", f"c{number}"))
        common = [("system", f"c{number}") for number in range(100)]
        await self.crash(*common, BAD, times=MIN_CRASHES)
        await anyio.sleep(OBJECTION_TIME_S)
        self.assertTrue(self.quarantine.refuses(BAD))
