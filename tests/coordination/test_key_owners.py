"""Tests of the choice of the host that decides about a key."""

import types

import anyio
import testtools

from snipetrestle.coordination.membership.key_owners import SILENCE_S, KeyOwners
from snipetrestle_standins.clock import run_in_virtual_time

KEYS = [f"tenant-{number}" for number in range(200)]


class KnownHosts:
    leaving = False

    def __init__(self, own_name, names):
        self.own = types.SimpleNamespace(name=own_name)
        self.names = tuple(names)

    def sender_names(self):
        return self.names


class KeyOwnersTest(testtools.TestCase):
    def test_all_hosts_choose_the_same_owner(self):
        """Two owners of a tenant would each issue its whole quota."""
        names = ("h1", "h2", "h3")
        owners = [KeyOwners(KnownHosts(name, names)) for name in names]
        for key in KEYS:
            self.assertEqual(1, len({item.owner(key) for item in owners}))
            self.assertEqual(1, sum(item.owns(key) for item in owners))

    def test_leaving_host_owns_nothing_unless_it_is_alone(self):
        """The other hosts have chosen new owners for its keys, and both would issue."""
        leaving = KnownHosts("h1", ("h1", "h2", "h3"))
        leaving.leaving = True
        owners = KeyOwners(leaving)
        other = KeyOwners(KnownHosts("h2", ("h2", "h3")))
        for key in KEYS:
            self.assertEqual(other.owner(key), owners.owner(key))
        leaving.names = ("h1",)
        self.assertTrue(owners.owns(KEYS[0]))

    def test_keys_are_spread_and_stay_when_a_host_leaves(self):
        """A change of the hosts must not move the keys of those that stay."""
        hosts = KnownHosts("h1", ("h1", "h2", "h3", "h4"))
        owners = KeyOwners(hosts)
        before = {key: owners.owner(key) for key in KEYS}
        for name in hosts.names:
            self.assertGreater(list(before.values()).count(name), len(KEYS) // 8)
        hosts.names = ("h1", "h2", "h3")
        for key in KEYS:
            if before[key] != "h4":
                self.assertEqual(before[key], owners.owner(key))

    def test_silent_owner_is_passed_over_for_a_while(self):
        """Each request for a key of a stopped host waited for its answer."""

        async def check():
            owners = KeyOwners(KnownHosts("h1", ("h1", "h2", "h3")))
            key = next(key for key in KEYS if owners.owner(key) == "h2")
            owners.note_silent("h2")
            self.assertNotEqual("h2", owners.responsive_owner(key))
            self.assertEqual("h2", owners.owner(key))
            await anyio.sleep(SILENCE_S)
            self.assertEqual("h2", owners.responsive_owner(key))
            owners.note_silent("h2")
            owners.note_heard("h2")
            self.assertEqual("h2", owners.responsive_owner(key))

        run_in_virtual_time(check)

    def test_host_without_others_to_ask_decides_itself(self):
        async def check():
            owners = KeyOwners(KnownHosts("h1", ("h1", "h2")))
            owners.note_silent("h2")
            owners.note_silent("h1")
            self.assertEqual("h1", owners.responsive_owner("any"))

        run_in_virtual_time(check)
