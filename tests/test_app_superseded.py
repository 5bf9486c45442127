"""Test of a daemon that receives a later incarnation of its own name."""

import anyio
import testtools

from snipetrestle.peers.membership_messages import Health, MemberUpdate
from snipetrestle.settings import DaemonSettings
from snipetrestle_standins.fleet import small_document
from snipetrestle_standins.local_fleet import LocalFleet


class SupersededTest(testtools.TestCase):
    def test_superseded_daemon_stops(self):
        """Guards against a replaced daemon that keeps running with an old view."""

        async def main():
            daemon = DaemonSettings("entry-0", "palermo", "sicily")
            async with LocalFleet(
                [daemon], lambda addresses: small_document(), {}
            ) as fleet:
                membership = fleet.apps[0].membership
                own = membership.own_incarnation
                membership._apply_update(
                    MemberUpdate("entry-0", own.number + 1, 0, 0, Health.ALIVE)
                )
                await fleet.apps[0].wait_stopped()

        anyio.run(main)
