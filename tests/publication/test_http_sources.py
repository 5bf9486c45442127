"""Tests of the clients of the configuration service and the host list, over HTTP."""

import contextlib

import anyio
import msgspec
import testtools
import uvicorn

from snipetrestle.publication import http_sources
from snipetrestle.publication.http_sources import (
    HttpConfigurationSource,
    HttpHostListSource,
)
from snipetrestle.publication.sources import (
    Host,
    HostState,
    SourceUnreachable,
    Unchanged,
)
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    configuration_app,
)
from snipetrestle_standins.host_list import (
    HostListService,
    LocalHostListSource,
    host_list_app,
)
from snipetrestle_standins.raw_http import (
    ENDLESS_ANSWERS,
    MAX_ENDLESS_BYTES,
    ok,
    raw_server,
)
from tests.memory import MAX_GROWTH_BYTES, assert_bounded_memory
from tests.systems import in_virtual_time, with_system
from tests.waiting import wait_until

HOST = Host("entry-1", "127.0.0.1:8100", "palermo", "sicily")


@contextlib.asynccontextmanager
async def serving(app):
    """Serves an ASGI application on loopback and yields its base URL."""
    server = uvicorn.Server(
        uvicorn.Config(app, host="127.0.0.1", port=0, log_level="error", lifespan="off")
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server._serve)
        await wait_until(lambda: server.started)
        port = server.servers[0].sockets[0].getsockname()[1]
        try:
            yield f"http://127.0.0.1:{port}"
        finally:
            server.should_exit = True
            server.force_exit = True


class HttpConfigurationSourceTest(testtools.TestCase):
    @with_system(anyio.run)
    async def test_read_watch_and_outage(self):
        """A watch must neither miss a change nor hide an outage."""
        service = ConfigurationService()
        async with serving(configuration_app(service)) as url:
            source = HttpConfigurationSource(url)
            with testtools.ExpectedException(SourceUnreachable):
                await source.read()
            service.publish("one")
            service.publish("part", key="snipetrestle/adapters-0")
            self.assertEqual((1, b"one"), tuple(await source.read()))
            self.assertEqual((1, b"part"), tuple(await source.read("adapters-0")))
            readings = []

            async def watch():
                readings.append(await source.watch(1))

            async with anyio.create_task_group() as group:
                group.start_soon(watch)
                await wait_until(lambda: service.calls["watch"])
                service.publish("two")
            self.assertEqual([(2, b"two")], [tuple(item) for item in readings])
            service.set_down(True)
            with testtools.ExpectedException(SourceUnreachable):
                await source.watch(2)
            self.assertEqual({"read": 3, "watch": 2}, dict(service.calls))
            await source.aclose()

    def test_end_of_a_watch_names_the_current_revision(self):
        """Without it, a service that was restored looks like one without changes."""
        self.patch(http_sources, "WATCH_WAIT_S", 0.05)

        async def main():
            service = ConfigurationService()
            async with serving(configuration_app(service)) as url:
                source = HttpConfigurationSource(url)
                service.publish("one", 7)
                self.assertEqual(Unchanged(7), await source.watch(9))
                await source.aclose()

        anyio.run(main)

    @with_system(anyio.run)
    async def test_refused_connection_raises_source_unreachable(self):
        """An unconverted connection error would end the task of the reader."""
        async with serving(configuration_app(ConfigurationService())) as url:
            pass
        with testtools.ExpectedException(SourceUnreachable):
            await HttpConfigurationSource(url).read()


class HttpHostListSourceTest(testtools.TestCase):
    @with_system(anyio.run)
    async def test_list_is_returned_again_only_after_a_change(self):
        """Guards against the transfer of the full list on each poll."""
        service = HostListService()
        service.put(HOST)
        async with serving(host_list_app(service)) as url:
            source = HttpHostListSource(url)
            hosts = await source.read()
            self.assertEqual((HOST,), hosts.hosts)
            self.assertIsNone(await source.read(hosts.revision))
            service.set_leaving("entry-1")
            changed = await source.read(hosts.revision)
            self.assertEqual(HostState.LEAVING, changed.hosts[0].state)
            await source.aclose()


class StandInTest(testtools.TestCase):
    @in_virtual_time
    async def test_frozen_service_and_lagging_list_return_old_states(self):
        """Tests of old states prove nothing if the stand-ins cannot return one."""
        service = ConfigurationService()
        service.publish("one")
        service.freeze()
        service.publish("two")
        self.assertEqual(1, service.read("snipetrestle").revision)
        service.thaw()
        self.assertEqual(2, service.read("snipetrestle").revision)
        hosts = HostListService(lag_s=5.0)
        hosts.put(HOST)
        source = LocalHostListSource(hosts)
        self.assertIsNone(await source.read())
        await anyio.sleep(5.0)
        self.assertEqual((HOST,), (await source.read()).hosts)


class BadServiceTest(testtools.TestCase):
    """A service in trouble may send bytes without end, or an answer twice."""

    TIMEOUT_S = 1.0

    def test_endless_answer_counts_as_an_outage(self):
        """A daemon read for ever, and neither kept its configuration up to date nor its
        memory within any bound."""
        self.patch(http_sources, "READ_TIMEOUT_S", self.TIMEOUT_S)
        self.patch(http_sources, "MAX_CONTENT_BYTES", MAX_GROWTH_BYTES // 4)

        async def main(name, answer):
            async with raw_server(answer) as server:
                for source_type in (HttpConfigurationSource, HttpHostListSource):
                    source = source_type(f"http://{server.address}")
                    with (
                        assert_bounded_memory(self, name),
                        anyio.fail_after(4 * self.TIMEOUT_S),
                        testtools.ExpectedException(SourceUnreachable),
                    ):
                        await source.read()
                    await source.aclose()
                self.assertLess(server.sent_bytes, MAX_ENDLESS_BYTES, name)

        for name, answer in ENDLESS_ANSWERS.items():
            anyio.run(main, name, answer)

    def test_revision_out_of_bounds_is_none(self):
        """Pings carry the revision, and could not be encoded with such a one."""

        async def main(tag):
            answer = ok(b"one", b'ETag: "%b"' % tag)
            async with raw_server(answer) as server:
                source = HttpConfigurationSource(f"http://{server.address}")
                with testtools.ExpectedException(SourceUnreachable):
                    await source.read()
                await source.aclose()

        for tag in (b"9" * 30, b"9" * 5000, b"-1", b"1_0", b"+1", b"1.5", b""):
            anyio.run(main, tag)

    def read_hosts(self, hosts, revision=3):
        content = msgspec.json.encode({"revision": revision, "hosts": hosts})

        async def main():
            async with raw_server(ok(content)) as server:
                source = HttpHostListSource(f"http://{server.address}")
                try:
                    return await source.read()
                finally:
                    await source.aclose()

        return anyio.run(main)

    def test_odd_host_does_not_hide_the_others(self):
        """The whole list was unreadable, so that no host that came or went was seen."""
        sound = msgspec.to_builtins(HOST)
        for odd in (
            7,
            {},
            {**sound, "name": None},
            {**sound, "state": "starting"},
            {**sound, "address": ["127.0.0.1", 8100]},
            {**sound, "size": -1},
            {**sound, "size": 1e300},
            {**sound, "name": "n" * 2000},
        ):
            hosts = self.read_hosts([odd, sound])
            self.assertEqual((3, (HOST,)), (hosts.revision, hosts.hosts), odd)
        self.assertEqual((HOST,), self.read_hosts([{**sound, "new": {}}]).hosts)

    def test_host_list_without_any_sound_host_is_an_outage(self):
        """It would remove all hosts from the list."""
        self.assertRaises(SourceUnreachable, self.read_hosts, [7])
        self.assertEqual((), self.read_hosts([]).hosts)
        self.assertRaises(SourceUnreachable, self.read_hosts, [], 2**63)

    def test_deeply_nested_host_list_counts_as_an_outage(self):
        """The error is one that no task expects, which ends a daemon."""
        nested = b'{"new": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"

        async def main():
            async with raw_server(ok(nested)) as server:
                source = HttpHostListSource(f"http://{server.address}")
                with testtools.ExpectedException(SourceUnreachable):
                    await source.read()
                await source.aclose()

        anyio.run(main)

    @with_system(anyio.run)
    async def test_late_second_copy_does_not_answer_the_next_read(self):
        """One part of the configuration was taken for another one."""
        one, two = ok(b"one", b'ETag: "1"'), ok(b"two", b'ETag: "1"')
        async with raw_server(one, two) as server:
            server.second_copy_delay_s = 0.05
            source = HttpConfigurationSource(f"http://{server.address}")
            first = await source.read("adapters-1")
            server.answer_delay_s = 0.2
            second = await source.read("adapters-2")
            self.assertEqual((b"one", b"two"), (first.document, second.document))
            await source.aclose()
