"""Tests of the gRPC transport and its trust, over loopback."""

import contextlib
import pathlib
import socket
import tempfile

import anyio
import msgspec
import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.peers import grpc_transport
from snipetrestle.peers import tls as tls_module
from snipetrestle.peers.grpc_transport import GrpcTransport
from snipetrestle.peers.messages import register_message
from snipetrestle.peers.tls import TlsMaterial
from snipetrestle.peers.transport import MessageRouter, PeerUnreachable
from snipetrestle_standins.certificates import Authority
from tests.waiting import wait_until

TIMEOUT_S = 5.0


@register_message
class Echo(msgspec.Struct):
    text: str


@register_message
class Unhandled(msgspec.Struct):
    text: str


class EchoPeer:
    """Router whose handlers record what reached them."""

    def __init__(self):
        self.seen = []
        self.cancelled = anyio.Event()
        self.completed = anyio.Event()
        self.router = MessageRouter()
        self.router.on_call(Echo, self.echo)
        self.router.on_stream(Echo, self.count)

    async def echo(self, sender, message):
        self.seen.append((sender, message.text))
        if message.text == "refuse":
            raise ServingError(ResultCode.QUEUE_FULL, "no room", retry_after=2.0)
        if message.text == "slow":
            await anyio.sleep(0.3)
            self.completed.set()
        return Echo(f"{sender}:{message.text}")

    async def count(self, sender, message):
        try:
            for number in range(3):
                yield Echo(str(number))
            if message.text == "refuse":
                raise ServingError(ResultCode.NOT_OWNER)
            if message.text == "hang":
                await anyio.sleep_forever()
        finally:
            self.cancelled.set()


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class GrpcTransportTest(testtools.TestCase):
    def run_pair(self, function, server_tls=None, client_tls=None, client_name="a"):
        async def main():
            addresses = {}
            peer = EchoPeer()
            server = GrpcTransport("b", peer.router, addresses.get, server_tls)
            client = GrpcTransport(
                client_name, MessageRouter(), addresses.get, client_tls
            )
            async with contextlib.AsyncExitStack() as stack:
                addresses["b"] = await stack.enter_async_context(
                    server.serving("127.0.0.1:0")
                )
                await stack.enter_async_context(client.serving("127.0.0.1:0"))
                await function(client, peer, addresses)

        anyio.run(main)

    def test_calls_streams_and_refusals(self):
        """Guards against a refusal that arrives as a lost message."""

        async def check(client, peer, addresses):
            reply = await client.call("b", Echo("hello"), TIMEOUT_S)
            self.assertEqual("a:hello", reply.text)
            with testtools.ExpectedException(ServingError):
                await client.call("b", Echo("refuse"), TIMEOUT_S)
            async with client.stream("b", Echo("x")) as replies:
                self.assertEqual(
                    ["0", "1", "2"], [reply.text async for reply in replies]
                )
            async with client.stream("b", Echo("refuse")) as replies:
                with testtools.ExpectedException(ServingError):
                    async for _ in replies:
                        pass
            with testtools.ExpectedException(ServingError, ".*no handler.*"):
                await client.call("b", Unhandled("x"), TIMEOUT_S)
            self.assertEqual(1, client.channel_count)

        self.run_pair(check)

    def test_sent_is_false_only_without_a_connection(self):
        """Guards against a caller that repeats a message which may have run."""

        async def check(client, peer, addresses):
            addresses["c"] = free_address()
            for member in ("c", "unknown"):
                error = await self.unreachable(client, member, Echo("x"))
                self.assertFalse(error.sent)
            error = await self.unreachable(client, "b", Echo("slow"), timeout=0.1)
            self.assertTrue(error.sent)
            # The handler runs to its end although its caller has gone.
            await peer.completed.wait()

        self.run_pair(check)

    async def unreachable(self, client, member, message, timeout=TIMEOUT_S):
        try:
            await client.call(member, message, timeout)
        except PeerUnreachable as error:
            return error
        raise AssertionError(f"{member} answered")

    def test_leaving_a_stream_cancels_it_at_the_peer(self):
        """Guards against work that goes on for a caller that has gone."""

        async def check(client, peer, addresses):
            async with client.stream("b", Echo("hang")) as replies:
                await anext(replies)
            await peer.cancelled.wait()

        self.run_pair(check)

    def test_dropped_peer_ends_its_streams(self):
        """Guards against a stream that waits for a host that died without a word."""

        async def check(client, peer, addresses):
            with testtools.ExpectedException(PeerUnreachable):
                async with client.stream("b", Echo("hang")) as replies:
                    for _ in range(3):
                        await anext(replies)
                    self.assertTrue(client.in_use("b"))
                    await client.drop("b")
                    await anext(replies)
            self.assertFalse(client.in_use("b"))
            await client.call("b", Echo("again"), TIMEOUT_S)

        self.run_pair(check)

    def test_idle_channels_are_closed(self):
        """Guards against a daemon that keeps a channel to each peer it ever called."""

        async def check(client, peer, addresses):
            await client.call("b", Echo("x"), TIMEOUT_S)
            await wait_until(lambda: client.channel_count == 0)
            await client.call("b", Echo("again"), TIMEOUT_S)

        self.patch(grpc_transport, "IDLE_CHANNEL_S", 0.0)
        self.patch(grpc_transport, "SWEEP_INTERVAL_S", 0.01)
        self.run_pair(check)

    def test_plain_text_is_refused_off_loopback(self):
        """Guards against plain text on the network, whatever the settings say."""

        async def main():
            transport = GrpcTransport("a", MessageRouter(), lambda name: "192.0.2.1:1")
            with testtools.ExpectedException(ServingError):
                async with transport.serving("0.0.0.0:0"):
                    pass
            error = await self.unreachable(transport, "b", Echo("x"))
            self.assertFalse(error.sent)

        anyio.run(main)


class TrustTest(GrpcTransportTest):
    """Mutual TLS between daemons."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.authority = Authority()

    def material(self, name, *addresses, authority=None):
        authority = authority or self.authority
        return TlsMaterial.from_files(authority.issue(self.directory, name, *addresses))

    def run_pair(self, function, server_tls=None, client_tls=None, client_name="a"):
        super().run_pair(
            function,
            server_tls or self.material("b", "127.0.0.1"),
            client_tls or self.material("a"),
            client_name,
        )

    def check_nothing_arrives(self, **options):
        async def check(client, peer, addresses):
            await self.unreachable(client, "b", Echo("x"))
            with testtools.ExpectedException(PeerUnreachable):
                async with client.stream("b", Echo("x")) as replies:
                    await anext(replies)
            self.assertEqual([], peer.seen)
            self.assertFalse(peer.cancelled.is_set())

        self.run_pair(check, **options)

    def test_stranger_with_a_certificate_of_another_authority(self):
        """Guards against any certificate being good enough."""
        other = Authority("other authority")
        self.check_nothing_arrives(client_tls=self.material("a", authority=other))

    def test_stranger_without_a_certificate(self):
        """Guards against a server that does not ask for a certificate."""
        stranger = self.material("a")
        self.patch(
            stranger,
            "channel_credentials",
            lambda: tls_module.grpc.ssl_channel_credentials(
                stranger._contents.authority
            ),
        )
        self.check_nothing_arrives(client_tls=stranger)

    def test_plain_text_stranger(self):
        """Guards against a TLS listener that also takes plain text."""

        async def main():
            peer = EchoPeer()
            server = GrpcTransport("b", peer.router, {}.get, self.material("b"))
            async with server.serving("127.0.0.1:0") as address:
                client = GrpcTransport("a", MessageRouter(), lambda name: address)
                await self.unreachable(client, "b", Echo("x"))
            self.assertEqual([], peer.seen)

        anyio.run(main)

    def test_false_name_of_a_caller(self):
        """Guards against a daemon that speaks in another daemon's name."""
        self.check_nothing_arrives(client_name="c")

    def test_false_name_of_a_server(self):
        """Guards against a daemon that answers at another daemon's address."""
        self.check_nothing_arrives(server_tls=self.material("c"))

    def test_seed_is_reached_by_its_address(self):
        """Guards against a first contact that TLS makes impossible."""

        async def check(client, peer, addresses):
            reply = await client.call(addresses["b"], Echo("x"), TIMEOUT_S)
            self.assertEqual("a:x", reply.text)

        self.run_pair(check)

    def test_reload_without_a_restart(self):
        """Guards against a certificate change that needs a restart."""
        server_tls = self.material("b")
        client_tls = self.material("a")
        new_authority = Authority("new authority")

        async def check(client, peer, addresses):
            await client.call("b", Echo("old"), TIMEOUT_S)
            new_authority.issue(self.directory, "a")
            client_tls.reload()
            error = await self.unreachable(client, "b", Echo("x"))
            self.assertFalse(error.sent)
            new_authority.issue(self.directory, "b")
            server_tls.reload()
            while True:
                # The channel connects again after its back-off.
                try:
                    await client.call("b", Echo("new"), TIMEOUT_S)
                    break
                except PeerUnreachable:
                    await anyio.sleep(0.05)
            self.assertEqual([("a", "old"), ("a", "new")], peer.seen)

        self.run_pair(check, server_tls, client_tls)

    def test_files_that_do_not_fit_together_are_not_used(self):
        """Guards against a reload in the middle of a change of the files."""
        material = self.material("a")
        key_path = pathlib.Path(material._files.key)
        key = key_path.read_bytes()
        self.authority.issue(self.directory, "a")
        key_path.write_bytes(key)
        material.reload()
        self.assertEqual(1, material.version)
