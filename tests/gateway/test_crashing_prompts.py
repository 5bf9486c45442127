"""Tests of prompts that crash the replicas which begin to answer them."""

import testtools
from loguru import logger

from snipetrestle.events import Event
from tests.gateway.running import run_fleet


class LostStreamLogTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.records = []
        handler = logger.add(lambda message: self.records.append(message.record))
        self.addCleanup(logger.remove, handler)

    def test_prompt_of_a_stream_lost_before_its_first_event_is_logged(self):
        """The logs did not show which prompts a replica was starting as it crashed."""

        async def check(fleet):
            replica = fleet.models[0]
            replica.crashing_parts = {"bad"}
            prefix = [("X-Prompt-Prefix", "system:350,bad:100,own:20")]
            await fleet.send_request("/night/a", adapter="", headers=prefix)
            self.assertEqual(1, replica.crash_count)
            self.assertIn(
                b'streams_lost_before_event_total{route="night"} 1.0',
                fleet.live[0].metrics.render(),
            )

        run_fleet(check, models=1)
        [line] = [
            record["extra"]
            for record in self.records
            if record["extra"].get("event") == str(Event.STREAM_LOST_BEFORE_EVENT)
        ]
        self.assertEqual(
            ("model-0", 1, ("system", "bad")),
            (line["replica"], line["boot"], line["prompt_parts"]),
        )
