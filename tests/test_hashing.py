"""Tests of rendezvous hashing."""

import testtools

from snipetrestle.hashing import (
    best_host,
    best_hosts,
    host_score,
    rendezvous_first,
    rendezvous_order,
)


class RendezvousTest(testtools.TestCase):
    def test_removal_moves_only_the_keys_of_the_removed_member(self):
        """Guards against a membership change that moves keys of other members."""
        weights = {f"entry-{number}": 1.0 for number in range(7)}
        remaining = {name: 1.0 for name in weights if name != "entry-3"}
        moved = 0
        for number in range(500):
            before = rendezvous_first(f"key-{number}", weights)
            after = rendezvous_first(f"key-{number}", remaining)
            if before == "entry-3":
                moved += 1
            else:
                self.assertEqual(before, after)
        self.assertGreater(moved, 0)

    def test_share_of_keys_follows_the_weight(self):
        """Guards against a small host that gets as many keys as a large one."""
        weights = {"large": 3.0, "small": 1.0}
        large_count = sum(
            rendezvous_first(f"key-{number}", weights) == "large"
            for number in range(4000)
        )
        self.assertTrue(2850 < large_count < 3150, large_count)

    def test_order_is_empty_without_members(self):
        self.assertEqual([], rendezvous_order("key", {}))
        self.assertIsNone(rendezvous_first("key", {}))


class HostScoreTest(testtools.TestCase):
    def test_scores_are_those_of_earlier_builds(self):
        """While builds mix, hosts of two builds would choose two owners of a tenant."""
        self.assertEqual(484662153883130037, host_score("tenant-1", "h1"))
        self.assertEqual(206972677809072927, host_score("tenant-1", "h2"))
        self.assertEqual(7362530246853329697, host_score(7, "h1"))
        self.assertEqual("h1", best_host("tenant-1", ("h2", "h1")))
        self.assertEqual(["h1", "h2"], best_hosts("tenant-1", ("h2", "h1"), 4))
        self.assertIsNone(best_host("tenant-1", ()))
