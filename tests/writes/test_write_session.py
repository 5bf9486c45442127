"""Compares the messages of a write with retries across daemons to a golden file.

``PYTHONPATH=. python -m tests.writes.test_write_session`` writes the file anew. Calls
of a daemon to its own keeper are not messages and are not in the file.
"""

import pathlib

import testtools

from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.recording import SessionLog
from snipetrestle_standins.service import ServiceFaults
from snipetrestle_standins.writes_fleet import WritesFleet

GOLDEN_FILE = pathlib.Path(__file__).parent.parent / "golden" / "write_retries.txt"


def record_session():
    """Returns the messages of two callers' retries while the service answers late."""
    session = SessionLog()

    async def write(fleet, name, time_left_s):
        session.write(f"caller -> {name} write enter, key k1, {time_left_s} s left")
        code, answer = await fleet.write(
            name, operation="enter", time_left_s=time_left_s
        )
        session.write(f"{name} -> caller {answer if code else f'result {answer}'}")

    async def main():
        faults = ServiceFaults(answer_delay_s=0.8)
        async with WritesFleet(faults=faults, session=session) as fleet:
            session.lines.clear()
            session.write("the service will answer after 0.8 s")
            await write(fleet, "entry-0", 0.3)
            await write(fleet, "entry-5", 3.0)
            await fleet.settle()
            session.write("the home is killed")
            fleet.kill(fleet.coordinator_of())
            await write(fleet, "entry-4", 3.0)

    run_in_virtual_time(main)
    return session.text()


class WriteSessionTest(testtools.TestCase):
    def test_messages_of_a_write_with_retries(self):
        """Guards against any change of the messages or their order."""
        self.assertEqual(GOLDEN_FILE.read_text(), record_session())


if __name__ == "__main__":
    GOLDEN_FILE.write_text(record_session())
