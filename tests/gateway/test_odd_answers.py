"""Tests of odd answers of the store, of replicas and of other hosts."""

import asyncio
import json
import random
import types

import anyio
import msgspec
import testtools

from snipetrestle.compression import compress
from snipetrestle.coordination.messaging import messages
from snipetrestle.coordination.messaging.datagrams import DatagramEndpoint
from snipetrestle.gateway.backends.connection_pool import ConnectionPool
from snipetrestle.gateway.backends.http_client import ConnectFailed, ExchangeFailed
from snipetrestle.gateway.backends.replicas import Replica
from snipetrestle.gateway.configuration import AdapterKey, ReplicaEntry, ReplicaState
from snipetrestle.gateway.publication.published_items import PublishedItem
from snipetrestle.gateway.publication.snapshots import MAX_CONTENT_BYTES, Snapshots
from snipetrestle.gateway.transfers import Transfers
from snipetrestle.platform.calls import OrderClient, StoreSource
from snipetrestle.publication.sources import SourceUnreachable
from snipetrestle_standins.raw_http import ok, raw_server

DEEP_JSON = b"[" * 100_000 + b"]" * 100_000
DEEP_MSGPACK = b"\x91" * 100_000 + b"\xc0"
INFO = messages.HostInfo("entry-9", 1, "127.0.0.1", 9, "zone-1", 1.0)


def run_with_store(function, *answers):
    """Runs ``function(StoreSource)`` against prepared answers; returns its result."""

    async def main():
        async with raw_server(*answers) as server:
            return await function(StoreSource("127.0.0.1", server.port))

    return anyio.run(main)


class OddStoreAnswerTest(testtools.TestCase):
    def assert_unreachable(self, content):
        async def check(source):
            with testtools.ExpectedException(SourceUnreachable):
                await source.read("")
            with testtools.ExpectedException(SourceUnreachable):
                await source.watch("", 1, 0.1)

        run_with_store(check, ok(content))

    def test_deeply_nested_page_is_no_unexpected_error(self):
        """The error ended the task that follows the store."""
        self.assert_unreachable(b'{"new": ' + DEEP_JSON + b"}")

    def test_huge_revisions_are_no_revisions(self):
        """They are sent in heartbeats, which no host could encode or read."""
        for revision in (b"-1", b"%d" % 2**63, b"%d" % 10**30, b"1e3", b'"7"'):
            at = b'"has_more": false, "at": %b}' % revision
            self.assert_unreachable(b'{"items": [], "events": [], ' + at)

    def read_and_watch(self, items, prefix=""):
        """Returns the items that a read and a watch get of a page."""
        page = {"items": items, "events": items, "has_more": False, "at": 20}

        async def check(source):
            read = await source.read(prefix)
            watched = await source.watch(prefix, 1, 0.1)
            return read.items, watched.items

        return run_with_store(check, ok(msgspec.json.encode(page)))

    def test_odd_item_does_not_hide_the_others_of_its_page(self):
        """The whole page was unreadable, so that no change was followed."""
        sound = [
            {"key": f"servers/i-{number}", "revision": 8, "value": "e30="}
            for number in range(2)
        ]
        expected = [PublishedItem(item["key"], 8, b"{}") for item in sound]
        for odd in (
            None,
            7,
            {},
            {"key": "servers/odd"},
            {"key": 3, "revision": 9, "value": "e30="},
            {"key": "", "revision": 9, "value": "e30="},
            {"key": "k" * 100_000, "revision": 9, "value": "e30="},
            {"key": "servers/odd", "revision": -1, "value": "e30="},
            {"key": "servers/odd", "revision": 2**63, "value": "e30="},
            {"key": "servers/odd", "revision": 9.5, "value": "e30="},
            {"key": "servers/odd", "revision": "9", "value": "e30="},
            {"key": "op/of-another-prefix", "revision": 9, "value": "e30="},
        ):
            pages = self.read_and_watch([sound[0], odd, sound[1]], "servers/")
            self.assertEqual((expected, expected), pages, f"{odd!r:.80}")

    def test_value_that_cannot_be_read_is_empty(self):
        """Such an item must take the place of the sound one before it."""
        for fields in (
            {"value": "e3"},
            {"value": "\u00e9"},
            {"value": 7},
            {"value": None},
            {"value": {"deep": [[]]}},
            {"deleted": "no", "value": 7},
            {},
        ):
            item = {"key": "servers/odd", "revision": 9, **fields}
            expected = [PublishedItem("servers/odd", 9, b"")]
            self.assertEqual((expected, expected), self.read_and_watch([item]), fields)
        deleted = {"key": "servers/odd", "revision": 9, "deleted": True}
        expected = [PublishedItem("servers/odd", 9, None)]
        self.assertEqual((expected, expected), self.read_and_watch([deleted]))

    def test_page_without_any_sound_item_is_not_taken(self):
        """It would remove all replicas."""
        page = ok(b'{"items": [7], "has_more": false, "at": 20}')
        with testtools.ExpectedException(SourceUnreachable):
            run_with_store(lambda source: source.read(""), page)

    def test_repeated_page_ends_a_read(self):
        """The pages were read and kept without end."""
        item = b'{"key": "a", "revision": 8, "value": "e30="}'
        page = ok(b'{"items": [%b], "has_more": true, "at": 20}' % item)

        async def check(source):
            with (
                anyio.fail_after(2.0),
                testtools.ExpectedException(SourceUnreachable),
            ):
                await source.read("")

        run_with_store(check, page)

    def test_watch_goes_on_after_changes_that_are_all_odd(self):
        """The same change would be read again and again, and no later one."""
        changes = ok(b'{"events": [7], "at": 20}')
        watched = run_with_store(lambda source: source.watch("", 8, 0.1), changes)
        self.assertEqual(([], 20), (watched.items, watched.revision))

    def test_bytes_that_are_no_text_make_only_their_item_odd(self):
        """The whole page was unreadable, so that no change was followed."""
        content = (
            b'{"items": [{"key": "a\xff", "revision": 8, "value": "e30="},'
            b'{"key": "b", "revision": 8, "value": "e30="}],'
            b'"has_more": false, "at": 20}'
        )
        read = run_with_store(lambda source: source.read(""), ok(content))
        self.assertEqual([PublishedItem("b", 8, b"{}")], read.items)


class OddReportTest(testtools.TestCase):
    def report(self, content):
        async def main():
            async with raw_server(ok(content)) as server:
                entry = ReplicaEntry(
                    "i-1", 1, "b", "127.0.0.1", server.port, "z", ReplicaState.READY
                )
                return await OrderClient().report(
                    Replica(entry, random.Random(1), lambda replica: None)
                )

        return anyio.run(main)

    def test_deeply_nested_report_is_a_failed_exchange(self):
        """The error ended the task that sends a replica's orders."""
        content = b'{"new": ' + DEEP_JSON + b"}"
        self.assertRaises(ExchangeFailed, self.report, content)

    def test_report_out_of_bounds_is_a_failed_exchange(self):
        """Its order count could not be encoded in the next order, which ended the task
        of the replica's orders."""
        sound = {
            "seq": 3,
            "busy": False,
            "models": [{"name": "m0", "adapters": ["a1@2", "a2"]}],
            "incoming": ["m0/a3@4"],
            "new": {"field": [1]},
        }
        report = self.report(json.dumps(sound).encode())
        versions = {("a1", 2), ("a2", 1), ("a3", 4)}
        self.assertEqual(
            versions,
            {(key.adapter, held) for key, held in report.versions_by_adapter.items()},
        )
        self.assertEqual({AdapterKey("m0", "a3")}, report.in_transit)
        self.assertEqual(frozenset(), report.replaced)
        report = self.report(json.dumps({**sound, "incoming": ["m0/a1@3"]}).encode())
        self.assertEqual(3, report.versions_by_adapter[AdapterKey("m0", "a1")])
        self.assertEqual({AdapterKey("m0", "a1")}, report.replaced)
        for field, value in (
            ("seq", -1),
            ("seq", 2**64),
            ("seq", 1.5),
            ("models", [{"name": "m" * 201}]),
            ("models", [{"name": "m0", "adapters": ["a1@-2"]}]),
            ("models", [{"name": "m0", "adapters": ["a1@" + "9" * 30]}]),
            ("models", [{"name": "m0", "adapters": ["a" * 201]}]),
            ("incoming", ["m0/a1@" + "9" * 5000]),
            ("incoming", ["m0/a1@1_0"]),
        ):
            odd = json.dumps({**sound, field: value}).encode()
            self.assertRaises(ExchangeFailed, self.report, odd)


class OddAddressTest(testtools.TestCase):
    def test_impossible_address_is_a_failed_connection(self):
        """The error closed a caller's connection without an answer, and ended the task
        of a replica's orders."""
        for address in (("127.0.0.1", 70_000), ("127.0.0.1", -1), ("a\0b", 80)):
            pool = ConnectionPool(*address)
            error = self.assertRaises(ConnectFailed, anyio.run, pool.acquire)
            self.assertNotEqual("", str(error))


class OddHostMessageTest(testtools.TestCase):
    def test_deeply_nested_datagram_is_ignored(self):
        """Fields that are not known are skipped, however deeply they are nested."""
        received = []
        endpoint = DatagramEndpoint()
        endpoint.register(messages.Join, lambda *message: received.append(message))
        info = msgspec.msgpack.encode(INFO)
        endpoint.datagram_received(b"\x93\xa4Join" + info + DEEP_MSGPACK, ("", 9))
        self.assertEqual([], received)
        endpoint.datagram_received(b"\x93\xa4Join" + info + b"\xc0", ("", 9))
        self.assertEqual(1, len(received))

    def test_host_with_an_impossible_address_is_ignored(self):
        """A datagram to it closed the socket, and no later one was sent."""
        received = []
        endpoint = DatagramEndpoint()
        endpoint.register(messages.Join, lambda *message: received.append(message))
        for ip in ("10.0.0.1\0", "\0", "a b", "\u00e9", "a" * 300):
            info = msgspec.structs.replace(INFO, ip=ip)
            endpoint.datagram_received(messages.encode(messages.Join(info)), ("", 9))
        self.assertEqual([], received)
        for ip in ("10.0.0.1", "fd00::1", "localhost"):
            info = msgspec.structs.replace(INFO, ip=ip)
            endpoint.datagram_received(messages.encode(messages.Join(info)), ("", 9))
        self.assertEqual(3, len(received))

    def fetch(self, content):
        """Returns what a host makes of a snapshot that another one sends."""
        return self.fetch_bytes(compress(content))

    def fetch_bytes(self, content):

        async def main():
            async def serve(reader, writer):
                await reader.readline()
                writer.write(len(content).to_bytes(4) + content)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            host = types.SimpleNamespace(info=msgspec.structs.replace(INFO, port=port))
            async with server:
                return await Snapshots(None, None, None, Transfers())._fetch_from(
                    host, ""
                )

        return anyio.run(main)

    def test_deeply_nested_snapshot_is_ignored(self):
        """The error ended the task that fetches snapshots."""
        content = msgspec.msgpack.encode([7, [], 1, []])
        self.assertEqual(7, self.fetch(content).revision)
        deep = b"\x95" + content[1:] + DEEP_MSGPACK
        self.assertIsNone(self.fetch(deep))

    def test_snapshot_with_huge_revisions_is_ignored(self):
        """They are sent in heartbeats, which no host could encode or read."""
        for content in (
            [2**63, [], 1, []],
            [7, [], 2**63, []],
            [7, [["servers/i-1", 2**63, b""]], 1, []],
            [7, [], 1, [["op/config", -1, b""]]],
        ):
            self.assertIsNone(self.fetch(msgspec.msgpack.encode(content)), content)

    def test_damaged_or_endless_compressed_snapshot_is_ignored(self):
        """A few bytes may unpack to any size."""
        content = compress(msgspec.msgpack.encode([7, [], 1, []]))
        self.assertEqual(7, self.fetch_bytes(content).revision)
        endless = compress(bytes(MAX_CONTENT_BYTES + 1))
        self.assertLess(len(endless), MAX_CONTENT_BYTES // 100)
        for odd in (b"", b"no snapshot", content[:-1], endless):
            self.assertIsNone(self.fetch_bytes(odd), odd[:20])

    def test_changes_with_huge_revisions_are_refused(self):
        """They are sent in heartbeats, which no host could encode or read."""
        packed = messages.pack_items([PublishedItem("servers/i-1", 2**63, b"")])
        self.assertRaises(ValueError, messages.unpack_items, packed)
