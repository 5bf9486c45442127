"""Tests of the completion endpoints: responses, resuming, cancelling, mismatches."""

import anyio
import testtools

from snipetrestle.engines.protocol import EngineError, TokenBatch
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.data_path import MODEL, DataPath
from snipetrestle_standins.engine import expected_text
from tests.callers.caller import (
    PROMPT,
    Caller,
    completion_body,
    stream_events,
    stream_text,
)
from tests.systems import in_virtual_time

DAEMONS = ("entry-1", "entry-2")


def running_count(core):
    """Returns the number of streams in progress at a stand-in engine."""
    return sum(not stream.ended for stream in core._streams_by_id.values())


class CompletionTest(testtools.TestCase):
    @in_virtual_time
    async def test_each_daemon_answers_for_the_requested_adapter(self):
        """No answer may come from another adapter or version.

        The request goes to a local replica through one daemon and to a remote one
        through the other.
        """
        async with DataPath(DAEMONS) as path:
            for name in DAEMONS:
                caller = Caller(path.daemons_by_name[name])
                for adapter in range(4):
                    for version in ("1", "2"):
                        answer = await caller.complete(
                            model=f"{MODEL}:workshop-{adapter}@{version}"
                        )
                        self.assertEqual(200, answer.status, answer.body)
                        choice = answer.json["choices"][0]
                        self.assertEqual(
                            expected_text(f"workshop-{adapter}", version, PROMPT, 8),
                            choice["text"],
                        )
                        self.assertEqual("length", choice["finish_reason"])
                        self.assertEqual(8, answer.json["usage"]["completion_tokens"])

    @in_virtual_time
    async def test_stream_of_text_and_chat(self):
        """Common LLM clients must be able to parse a stream of text or chat."""
        async with DataPath(DAEMONS) as path:
            caller = Caller(path.daemons_by_name["entry-1"])
            answer = await caller.complete(
                stream=True, stream_options={"include_usage": True}
            )
            self.assertEqual("text/event-stream", answer.headers["content-type"])
            self.assertTrue(answer.body.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(
                expected_text("workshop-0", "1", PROMPT, 8),
                stream_text(answer.body),
            )
            *_, last, usage = stream_events(answer.body)
            self.assertEqual("length", last["choices"][0]["finish_reason"])
            self.assertEqual(8, usage["usage"]["completion_tokens"])
            body = completion_body(
                stream=True, messages=[{"role": "user", "content": "Size 8?"}]
            )
            del body["prompt"]
            answer = await caller.send("POST", "/v1/chat/completions", body)
            events = stream_events(answer.body)
            self.assertEqual("chat.completion.chunk", events[0]["object"])
            text = "".join(
                event["choices"][0]["delta"].get("content", "") for event in events
            )
            prompt = "<|user|>\nSize 8?\n<|assistant|>\n"
            self.assertEqual(expected_text("workshop-0", "1", prompt, 8), text)

    @in_virtual_time
    async def test_disconnect_cancels_at_the_engine(self):
        """An engine could keep generating after its caller has disconnected."""
        async with DataPath(DAEMONS) as path:
            for name in DAEMONS:
                caller = Caller(path.daemons_by_name[name])
                body = completion_body(max_tokens=4000, stream=True)
                async with caller.open("POST", "/v1/completions", body) as response:
                    async for _ in response.aiter_stream():
                        break
                    counts = [running_count(c) for c in path.engines_by_name.values()]
                    self.assertEqual(1, sum(counts))
                await anyio.sleep(1.0)
                counts = [running_count(c) for c in path.engines_by_name.values()]
                self.assertEqual([0, 0], counts)
                reasons = {
                    stream.finish_reason
                    for core in path.engines_by_name.values()
                    for stream in core._streams_by_id.values()
                }
                self.assertEqual({"cancelled"}, reasons)

    @in_virtual_time
    async def test_deadline_ends_a_request(self):
        """Guards against work that continues after the caller's deadline."""
        async with DataPath(DAEMONS) as path:
            caller = Caller(path.daemons_by_name["entry-1"])
            answer = await caller.send(
                "POST",
                "/v1/completions",
                completion_body(max_tokens=4000),
                X_Request_Deadline="1.5",
            )
            self.assertEqual((504, "SN-1303"), _status_and_code(answer))
            self.assertEqual("outcome_unknown", answer.error["outcome"])
            await anyio.sleep(1.0)
            counts = [running_count(core) for core in path.engines_by_name.values()]
            self.assertEqual([0, 0], counts)


class ResumeTest(testtools.TestCase):
    def run_interrupted(self, name, break_path, **changes):
        """Streams a completion and calls ``break_path(path)`` after five chunks.

        Returns (body, number of resumed streams, generated tokens by engine).
        """

        async def main():
            async with DataPath(DAEMONS, **changes) as path:
                caller = Caller(path.daemons_by_name[name])
                body = completion_body(max_tokens=40, stream=True)
                parts = []
                async with caller.open("POST", "/v1/completions", body) as response:
                    async for chunk in response.aiter_stream():
                        parts.append(chunk)
                        if len(parts) == 5:
                            await break_path(path)
                resumed = sum(
                    daemon.entry.resumed_streams
                    for daemon in path.daemons_by_name.values()
                )
                generated = [
                    core.tokens_generated for core in path.engines_by_name.values()
                ]
                return b"".join(parts), resumed, generated

        return run_in_virtual_time(main)

    def check_text(self, body):
        self.assertEqual(
            expected_text("workshop-0", "1", PROMPT, 40), stream_text(body)
        )
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    def test_broken_connection_resumes_at_the_same_engine(self):
        """After a break, tokens could be missing, duplicate or generated twice."""

        async def break_path(path):
            for listener in path.listeners_by_name.values():
                listener.break_connections()

        for name in DAEMONS:
            body, resumed, generated = self.run_interrupted(name, break_path)
            self.check_text(body)
            self.assertEqual(1, resumed)
            self.assertEqual([0, 40], sorted(generated))

    def test_connection_that_breaks_inside_an_event(self):
        """An event cut by a broken connection must be neither processed nor lost."""

        for size in range(200, 1200, 37):

            async def break_path(path, size=size):
                for listener in path.listeners_by_name.values():
                    for connection in listener.connections:
                        connection.response_bytes = 0
                    listener.break_after_bytes = size

            body, resumed, _ = self.run_interrupted("entry-1", break_path)
            self.check_text(body)
            self.assertEqual(1, resumed)

    def test_engine_restart_resumes_with_a_forced_prefix(self):
        """A stream must not be lost when its engine restarts empty."""

        async def break_path(path):
            for core in path.engines_by_name.values():
                core.restart()

        body, resumed, _ = self.run_interrupted("entry-1", break_path)
        self.check_text(body)
        self.assertTrue(resumed)

    def test_dead_engine_resumes_at_another_one(self):
        """Guards against a stream that fails together with its engine."""

        async def break_path(path):
            for name, core in path.engines_by_name.items():
                if running_count(core):
                    path.listeners_by_name[name].down = True
                    path.listeners_by_name[name].break_connections()

        for name in DAEMONS:
            body, resumed, generated = self.run_interrupted(name, break_path)
            self.check_text(body)
            self.assertTrue(resumed)
            self.assertTrue(all(generated), "both engines generated tokens")

    def test_stream_resumes_after_its_owner_failed(self):
        """The failure of the daemon that owned the replica must not fail a stream."""

        async def break_path(path):
            path.network.kill("entry-2")
            path.set_members("entry-1")

        body, resumed, _ = self.run_interrupted(
            "entry-1", break_path, engines=engines_owned_by("entry-2")
        )
        self.check_text(body)
        self.assertTrue(resumed)


def engines_owned_by(daemon, count=2):
    """Returns names of engines that rendezvous hashing assigns to a daemon."""
    from snipetrestle.hashing import rendezvous_first

    names = [f"drafting-{number}" for number in range(1, 40)]
    sizes = dict.fromkeys(DAEMONS, 1.0)
    return [name for name in names if rendezvous_first(name, sizes) == daemon][:count]


class _MismatchedEngine:
    """EngineClient that applies ``change`` to one batch of the first stream."""

    def __init__(self, client, change):
        self._client = client
        self._change = change

    def __getattr__(self, name):
        return getattr(self._client, name)

    def generate(self, request):
        context = self._client.generate(request)
        change, self._change = self._change, None
        return context if change is None else _ChangedStream(context, change)


class _ChangedStream:
    """Context manager of a stream that applies ``change`` to its fourth batch."""

    def __init__(self, context, change):
        self._context = context
        self._change = change

    async def __aenter__(self):
        return self._read(await self._context.__aenter__())

    async def __aexit__(self, *details):
        return await self._context.__aexit__(*details)

    async def _read(self, batches):
        count = 0
        async for batch in batches:
            count += 1
            if count == 4:
                batch = self._change(batch)
            yield batch


class MismatchTest(testtools.TestCase):
    def run_changed(self, change):
        async def main():
            async with DataPath(
                DAEMONS, wrap_engine=lambda client: _MismatchedEngine(client, change)
            ) as path:
                caller = Caller(path.daemons_by_name["entry-1"])
                return await caller.complete(max_tokens=12)

        return run_in_virtual_time(main)

    def test_answer_for_another_request_or_handle(self):
        """Without a check of request and handle, a caller could get others' tokens."""

        def other_request(batch):
            return TokenBatch("other", batch.handle, batch.first_index, (" wrong",))

        def other_handle(batch):
            return TokenBatch(
                batch.request_id, "workshop-0@2", batch.first_index, (" wrong",)
            )

        for change in (other_request, other_handle):
            answer = self.run_changed(change)
            self.assertEqual(200, answer.status, answer.body)
            self.assertEqual(
                expected_text("workshop-0", "1", PROMPT, 12),
                answer.json["choices"][0]["text"],
            )

    def test_missing_tokens(self):
        """Guards against a gap in an engine's stream that reaches the caller."""

        def skip(batch):
            index = batch.first_index + 2
            return TokenBatch(batch.request_id, batch.handle, index, (" wrong",))

        answer = self.run_changed(skip)
        self.assertEqual(200, answer.status, answer.body)
        self.assertEqual(
            expected_text("workshop-0", "1", PROMPT, 12),
            answer.json["choices"][0]["text"],
        )

    def test_engine_that_always_mismatches(self):
        """Once all attempts failed, a mismatched answer must not be returned."""

        def wrap(client):
            engine = _MismatchedEngine(client, None)

            def generate(request):
                return _ChangedStream(
                    client.generate(request),
                    lambda batch: TokenBatch("other", batch.handle, 3, (" wrong",)),
                )

            engine.generate = generate
            return engine

        async def main():
            async with DataPath(DAEMONS, wrap_engine=wrap) as path:
                caller = Caller(path.daemons_by_name["entry-1"])
                answer = await caller.complete(max_tokens=40)
                if answer.status == 200:
                    self.assertEqual(
                        expected_text("workshop-0", "1", PROMPT, 40),
                        answer.json["choices"][0]["text"],
                    )
                else:
                    self.assertEqual((502, "SN-1302"), _status_and_code(answer))
                    self.assertEqual("outcome_unknown", answer.error["outcome"])

        run_in_virtual_time(main)

    def test_failure_after_the_first_tokens_is_an_event(self):
        """Once tokens were sent, a stream must not stop without an error event.

        A caller would take that for a complete answer.
        """

        def wrap(client):
            engine = _MismatchedEngine(client, None)

            def fail(batch):
                raise EngineError("broken")

            engine.generate = lambda request: _ChangedStream(
                client.generate(request), fail
            )
            return engine

        async def main():
            async with DataPath(DAEMONS, wrap_engine=wrap) as path:
                caller = Caller(path.daemons_by_name["entry-1"])
                answer = await caller.complete(max_tokens=400, stream=True)
                self.assertEqual(200, answer.status)
                last = answer.body.rstrip(b"\n").split(b"\n\n")[-1]
                self.assertIn(b"event: error", last)
                self.assertIn(b"SN-1301", last)
                self.assertNotIn(b"[DONE]", answer.body)

        run_in_virtual_time(main)


def _status_and_code(answer):
    return answer.status, answer.error["code"]
