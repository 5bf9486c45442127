"""Tests of the sample configurations in ``samples``."""

import pathlib

import testtools

from snipetrestle.published import PublishedConfiguration
from snipetrestle.settings import Settings
from snipetrestle_standins import samples

FOLDER = pathlib.Path(__file__).resolve().parent.parent / "samples"


class SamplesTest(testtools.TestCase):
    def test_samples_are_valid_and_have_the_expected_sizes(self):
        """Guards against samples that the current validation refuses."""
        counts_by_name = {"consorzio": (5, 3, 3000, 3), "kitami": (9, 3, 3000, 3)}
        for name, (
            engine_count,
            server_count,
            adapter_count,
            domain_count,
        ) in counts_by_name.items():
            text = (FOLDER / name / "published.yaml").read_text()
            configuration = PublishedConfiguration.parse(text)
            (replicas,) = configuration.replicas_by_model.values()
            (service,) = configuration.servers_by_service.values()
            self.assertEqual(
                (engine_count, server_count, adapter_count, domain_count),
                (
                    len(replicas),
                    len(service),
                    len(configuration.adapters),
                    len({daemon.failure_domain for daemon in configuration.daemons}),
                ),
            )
            settings = Settings.load(FOLDER / name / "entry-1.yaml")
            self.assertIn(settings.daemon.name, configuration.daemons_by_name)

    def test_files_match_the_generator(self):
        """Guards against a sample file that differs from its generator."""
        for sample in samples.SAMPLES:
            folder = FOLDER / sample.name
            self.assertEqual(
                samples.published_text(sample), (folder / "published.yaml").read_text()
            )
            self.assertEqual(
                samples.settings_text(sample, 1), (folder / "entry-1.yaml").read_text()
            )
