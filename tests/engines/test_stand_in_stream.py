"""Tests of how the stand-in engine ends streams."""

import anyio
import testtools

from snipetrestle.engines.protocol import GenerateRequest, LoadOrder
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.engine import StandInEngine
from snipetrestle_standins.store import StandInWeightStore


class StreamEndTest(testtools.TestCase):
    def read_slowly(self, pause_s, cancel_after_s=None):
        """Returns the tokens and finish reasons that a slow reader receives."""

        async def main():
            core = StandInEngine("engine", StandInWeightStore(10.0, 1, 0.0))
            await core.load(LoadOrder("a@1", "a", "1", 1))
            request = GenerateRequest("r", "a@1", "p", 1, 20, 0, 1)
            tokens, reasons = [], []
            async with anyio.create_task_group() as group:
                group.start_soon(core.run)
                async with core.generate(request) as batches:
                    async for batch in batches:
                        tokens.extend(batch.tokens)
                        reasons.append(batch.finish_reason)
                        if cancel_after_s is not None:
                            await anyio.sleep(cancel_after_s)
                            await core.cancel("r")
                        await anyio.sleep(pause_s)
                group.cancel_scope.cancel()
            return tokens, reasons

        return run_in_virtual_time(main)

    def test_slow_reader_gets_all_tokens(self):
        """Guards against tokens lost when the stream ends between two reads."""
        tokens, reasons = self.read_slowly(0.15)
        self.assertEqual((20, "length"), (len(tokens), reasons[-1]))

    def test_cancelled_stream_has_a_finish_reason(self):
        """Guards against a reader that waits forever after a cancellation."""
        _, reasons = self.read_slowly(0.0, cancel_after_s=0.0)
        self.assertEqual("cancelled", reasons[-1])
