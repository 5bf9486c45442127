"""Golden file of a whole session: a configuration change reaches four daemons.

``PYTHONPATH=. python -m tests.peers.test_configuration_session`` writes the file again.
"""

import pathlib

import anyio
import testtools

from snipetrestle_standins.clock import run_advanced
from snipetrestle_standins.fleet import Fleet, encode_document, small_document
from snipetrestle_standins.recording import Session

GOLDEN_FILE = (
    pathlib.Path(__file__).parent.parent / "golden" / "configuration_change.txt"
)
# Three members share a failure domain, so one of them is not a reader.
SIZE = 6
DOMAINS = 2


def record_session():
    """Returns the text of the session from the publication on."""
    session = Session()

    async def main():
        async with Fleet(SIZE, domains=DOMAINS, session=session) as fleet:
            fleet.configuration.publish(encode_document(small_document(2)))
            fleet.start_all()
            # The updates of the start are passed on first.
            await anyio.sleep(30.0)
            session.lines.clear()
            session.write("published: revision 2 with a third adapter")
            fleet.configuration.publish(encode_document(small_document(3)))
            watch_changes(fleet)
            await fleet.wait_until(lambda: fleet.revisions() == ({2}, {2}), 30.0)
            session.write("in effect everywhere")

    def watch_changes(fleet):
        for name, daemon in fleet.daemons_by_name.items():
            daemon.spread.on_change(
                lambda configuration, revision, name=name: session.write(
                    f"{name} has revision {revision} in effect"
                )
            )

    run_advanced(main)
    return session.text()


class ConfigurationChangeSessionTest(testtools.TestCase):
    def test_messages_of_a_change(self):
        """Guards against any change of what the daemons send, or in which order."""
        self.assertEqual(GOLDEN_FILE.read_text(), record_session())


if __name__ == "__main__":
    GOLDEN_FILE.write_text(record_session())
