"""Compares the messages of a configuration change among six daemons with a golden file.

``PYTHONPATH=. python -m tests.peers.test_configuration_session`` rewrites the file.
"""

import pathlib

import anyio
import testtools

from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document
from snipetrestle_standins.recording import SessionLog

GOLDEN_FILE = (
    pathlib.Path(__file__).parent.parent / "golden" / "configuration_change.txt"
)
# Three daemons share each failure domain, so one of them is not a reader.
DAEMON_COUNT = 6
DOMAIN_COUNT = 2


def record_session():
    """Returns the recorded messages from the publication of the change on."""
    session = SessionLog()

    async def main():
        async with MembershipFleet(
            DAEMON_COUNT, domains=DOMAIN_COUNT, session=session
        ) as fleet:
            fleet.configuration.publish(encode_document(small_document(2)))
            fleet.start_all()
            # Waits until the updates of the start are no longer sent.
            await anyio.sleep(30.0)
            session.lines.clear()
            session.write("published: revision 2 with a third adapter")
            fleet.configuration.publish(encode_document(small_document(3)))
            record_accepted_revisions(fleet)
            await fleet.wait_until(lambda: fleet.revisions() == ({2}, {2}), 30.0)
            session.write("in effect everywhere")

    def record_accepted_revisions(fleet):
        for name, daemon in fleet.daemons_by_name.items():
            daemon.spread.on_change(
                lambda configuration, revision, name=name: session.write(
                    f"{name} has revision {revision} in effect"
                )
            )

    run_in_virtual_time(main)
    return session.text()


class ConfigurationChangeSessionTest(testtools.TestCase):
    def test_messages_of_a_change(self):
        """Guards against an unintended change of the messages or their order."""
        self.assertEqual(GOLDEN_FILE.read_text(), record_session())


if __name__ == "__main__":
    GOLDEN_FILE.write_text(record_session())
