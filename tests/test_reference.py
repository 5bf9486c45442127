"""Tests that the reference pages and the design page match the code."""

import pathlib
import re

import testtools

import snipetrestle.app  # noqa: F401 - registers all messages
from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.peers.messages import registered_types
from snipetrestle.reference import pages_by_name

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"


class ReferenceTest(testtools.TestCase):
    def test_pages_match_the_code(self):
        """Each code and event must be on its page."""
        for name, build_page in pages_by_name.items():
            self.assertEqual(
                build_page(),
                (DOCS / name).read_text(),
                f"docs/{name} is outdated: run python -m snipetrestle.reference docs",
            )

    def test_all_codes_and_events_are_used(self):
        """A page could document a code or event that is no longer used."""
        source = "".join(
            path.read_text() for path in (DOCS.parent / "snipetrestle").rglob("*.py")
        )
        for items in (ResultCode, Event):
            for item in items:
                name = f"{items.__name__}.{item.name}"
                self.assertRegex(source, rf"\b{name}\b", f"{name} is not used")

    def test_design_page_lists_the_messages(self):
        """If messages change, the design page could miss a type or list an old one."""
        page = (DOCS / "design.md").read_text()
        section = page.split("## 5. Messages")[1].split("## 6.")[0]
        listed_types = set(
            re.findall(r"`([A-Za-z]+)`", section.split("| --- | --- |")[1])
        )
        product_types = {
            message_type.__name__
            for message_type in registered_types()
            if message_type.__module__.startswith("snipetrestle.")
        }
        self.assertEqual(product_types, listed_types)

    def test_numbers_are_unique(self):
        """Guards against two codes or events with the same number."""
        for items in (ResultCode, Event):
            numbers = [item.number for item in items]
            self.assertEqual(len(set(numbers)), len(numbers))
            # An enum makes a member with the value of another one an alias.
            self.assertEqual(len(items.__members__), len(numbers))
