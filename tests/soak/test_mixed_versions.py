"""A short run of the soak in which software versions of replicas mix."""

import asyncio

import testtools

from tests.process_logs import log_folder
from tests.soak.mixed_versions import MixedVersions

FAULT_PHASE_S = 8.0
# A run in which callers took fewer streams up has not shown much.
MIN_TAKE_UPS = 40
MIN_TAKE_UPS_WHILE_MIXED = 10


class MixedVersionsTest(testtools.TestCase):
    def check_seed(self, seed):
        with log_folder(f"mixed-versions-{seed}") as folder:
            soak = MixedVersions(seed, FAULT_PHASE_S, folder)
            asyncio.run(soak.run())
            lines = [soak.summary(), *soak.violations]
            (folder / "violations.txt").write_text("\n".join(lines))
            self.assertEqual([], soak.violations)
            self.assertGreater(soak.take_ups.total(), MIN_TAKE_UPS)
            self.assertGreater(soak.take_ups_while_mixed, MIN_TAKE_UPS_WHILE_MIXED)

    def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against streams with events of two software versions of a backend."""
        self.check_seed(1)
