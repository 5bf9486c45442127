"""Compares the traffic of whole sessions with golden files.

A session has all messages between caller, entry, owner and engine, in order.
``PYTHONPATH=. python -m tests.callers.test_sessions`` rewrites the files. The bytes of
HTTP connections are shown with ``\\r`` and ``\\n`` escaped; messages between daemons
are shown in JSON.
"""

import pathlib

import testtools

from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.data_path import DataPath
from snipetrestle_standins.recording import SessionLog
from tests.callers.caller import Caller, completion_body
from tests.callers.test_completions import engines_owned_by

GOLDEN_FOLDER = pathlib.Path(__file__).parent.parent / "golden"


def record_streamed_draft():
    """Records a streamed completion of a replica that the other daemon owns."""

    async def run(path, caller):
        await caller.complete(max_tokens=4, stream=True)

    return record(run)


def record_resumed_stream():
    """Records a stream whose engine connection breaks inside an event.

    Afterwards the engine becomes unreachable.
    """

    async def run(path, caller):
        body = completion_body(max_tokens=9, stream=True)
        parts = 0
        async with caller.open("POST", "/v1/completions", body) as response:
            async for _ in response.aiter_stream():
                parts += 1
                used = [
                    listener
                    for name, listener in path.listeners_by_name.items()
                    if listener.connections and name.startswith("drafting")
                ]
                if parts == 2:
                    path.session.write("the connection breaks inside the next event")
                    connection = used[0].connections[-1]
                    connection.response_bytes = 0
                    used[0].break_after_bytes = 60
                elif parts == 5:
                    path.session.write("the engine is gone")
                    used[0].down = True
                    used[0].break_connections()

    return record(run)


def record(run):
    """Returns the recorded session of ``run(path, caller)``."""
    session = SessionLog()

    async def main():
        engines = engines_owned_by("entry-2")
        async with DataPath(engines=engines, session=session) as path:
            await run(path, Caller(path.daemons_by_name["entry-1"]))

    run_in_virtual_time(main)
    return session.text()


SESSIONS = {
    "streamed_draft.txt": record_streamed_draft,
    "resumed_stream.txt": record_resumed_stream,
}


class SessionTest(testtools.TestCase):
    def test_sessions(self):
        """Guards against unintended changes of the traffic with callers and engines."""
        for name, record_session in SESSIONS.items():
            self.assertEqual((GOLDEN_FOLDER / name).read_text(), record_session(), name)


if __name__ == "__main__":
    for name, record_session in SESSIONS.items():
        (GOLDEN_FOLDER / name).write_text(record_session())
