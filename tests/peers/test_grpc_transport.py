"""Tests of the gRPC transport, with and without mutual TLS, over loopback."""

import contextlib
import pathlib
import socket
import tempfile

import anyio
import grpc
import msgspec
import testtools

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.peers import grpc_transport, peer_pb2, peer_pb2_grpc
from snipetrestle.peers import tls as tls_module
from snipetrestle.peers.grpc_transport import GrpcTransport
from snipetrestle.peers.messages import register_message
from snipetrestle.peers.tls import TlsMaterial
from snipetrestle.peers.transport import MessageRouter, PeerUnreachable
from snipetrestle_standins.certificates import CertificateAuthority
from tests.systems import with_own_system, with_system
from tests.waiting import wait_until

TIMEOUT_S = 5.0
DEEP = b"\x81\xa3new" + b"\x91" * 100_000 + b"\xc0"


@register_message
class Echo(msgspec.Struct):
    text: str


@register_message
class Unhandled(msgspec.Struct):
    text: str


class EchoPeer:
    """Router with handlers that record the messages they received."""

    def __init__(self):
        self.received = []
        self.stream_ended = anyio.Event()
        self.slow_call_completed = anyio.Event()
        self.router = MessageRouter()
        self.router.on_call(Echo, self.echo)
        self.router.on_stream(Echo, self.stream_numbers)

    async def echo(self, sender, message):
        self.received.append((sender, message.text))
        if message.text == "refuse":
            raise ServingError(ResultCode.QUEUE_FULL, "no room", retry_after=2.0)
        if message.text == "slow":
            await anyio.sleep(0.3)
            self.slow_call_completed.set()
        return Echo(f"{sender}:{message.text}")

    async def stream_numbers(self, sender, message):
        try:
            for number in range(3):
                yield Echo(str(number))
            if message.text == "refuse":
                raise ServingError(ResultCode.NOT_OWNER)
            if message.text == "hang":
                await anyio.sleep_forever()
        finally:
            self.stream_ended.set()


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

    def test_malformed_replies_are_no_unexpected_errors(self):
        """A reply that could not be decoded raised errors that no task expects, which
        end a daemon."""

        class MalformedPeer(peer_pb2_grpc.PeerServicer):
            async def Call(self, request, context):  # noqa: N802
                return replies[0]

            async def Stream(self, request, context):  # noqa: N802
                yield replies[0]

        replies = [
            peer_pb2.Envelope(type="Unknown", body=b"", sender="b"),
            peer_pb2.Envelope(type="Echo", body=b"\xff", sender="b"),
            peer_pb2.Envelope(type="Echo", body=msgspec.msgpack.encode({}), sender="b"),
            peer_pb2.Envelope(type="Echo", body=DEEP, sender="b"),
            peer_pb2.Envelope(
                type="Refusal",
                body=msgspec.msgpack.encode({"number": 1, "outcome": "absurd"}),
                sender="b",
            ),
        ]

        async def main():
            server = grpc.aio.server()
            peer_pb2_grpc.add_PeerServicer_to_server(MalformedPeer(), server)
            port = server.add_insecure_port("127.0.0.1:0")
            await server.start()
            addresses = {"b": f"127.0.0.1:{port}"}
            client = GrpcTransport("a", MessageRouter(), addresses.get, None)
            async with client.serving("127.0.0.1:0"):
                while replies:
                    with testtools.ExpectedException(PeerUnreachable):
                        await client.call("b", Echo("hello"), TIMEOUT_S)
                    async with client.stream("b", Echo("x")) as stream:
                        with testtools.ExpectedException(PeerUnreachable):
                            async for _ in stream:
                                pass
                    replies.pop(0)
            await server.stop(None)

        anyio.run(main)

    @with_own_system("run_pair")
    async def test_deeply_nested_message_is_refused(self, client, peer, addresses):
        """The handler of the call raised an error that nothing expects."""
        envelope = peer_pb2.Envelope(type="Echo", body=DEEP, sender="a")
        async with client._connected("b", TIMEOUT_S) as stub:
            reply = await stub.Call(envelope, timeout=TIMEOUT_S)
        self.assertEqual("Refusal", reply.type)
        self.assertEqual([], peer.received)

    @with_own_system("run_pair")
    async def test_calls_streams_and_refusals(self, client, peer, addresses):
        """A refusal must not look to the caller like an unreachable peer."""
        reply = await client.call("b", Echo("hello"), TIMEOUT_S)
        self.assertEqual("a:hello", reply.text)
        with testtools.ExpectedException(ServingError):
            await client.call("b", Echo("refuse"), TIMEOUT_S)
        async with client.stream("b", Echo("x")) as replies:
            self.assertEqual(["0", "1", "2"], [reply.text async for reply in replies])
        async with client.stream("b", Echo("refuse")) as replies:
            with testtools.ExpectedException(ServingError):
                async for _ in replies:
                    pass
        with testtools.ExpectedException(ServingError, ".*no handler.*"):
            await client.call("b", Unhandled("x"), TIMEOUT_S)
        self.assertEqual(1, client.channel_count)

    @with_own_system("run_pair")
    async def test_sent_is_false_only_without_a_connection(
        self, client, peer, addresses
    ):
        """A message that the peer may have handled must not be retried.

        Callers may only repeat a message if ``sent`` is false.
        """
        addresses["c"] = free_address()
        for member in ("c", "unknown"):
            error = await self.unreachable(client, member, Echo("x"))
            self.assertFalse(error.sent)
        error = await self.unreachable(client, "b", Echo("slow"), timeout=0.1)
        self.assertTrue(error.sent)
        # The handler runs to completion although the call timed out.
        await peer.slow_call_completed.wait()

    async def unreachable(self, client, member, message, timeout=TIMEOUT_S):
        try:
            await client.call(member, message, timeout)
        except PeerUnreachable as error:
            return error
        raise AssertionError(f"{member} answered")

    @with_own_system("run_pair")
    async def test_leaving_a_stream_cancels_it_at_the_peer(
        self, client, peer, addresses
    ):
        """When its caller leaves, a stream handler could keep running alone."""
        async with client.stream("b", Echo("hang")) as replies:
            await anext(replies)
        await peer.stream_ended.wait()

    @with_own_system("run_pair")
    async def test_drop_ends_the_streams_of_a_peer(self, client, peer, addresses):
        """Streams to a host that died could wait forever.

        Such a host does not close its connections.
        """
        with testtools.ExpectedException(PeerUnreachable):
            async with client.stream("b", Echo("hang")) as replies:
                for _ in range(3):
                    await anext(replies)
                self.assertTrue(client.in_use("b"))
                await client.drop("b")
                await anext(replies)
        self.assertFalse(client.in_use("b"))
        await client.call("b", Echo("again"), TIMEOUT_S)

    def test_idle_channels_are_closed(self):
        """Guards against a channel leak: one for each peer that was ever called."""

        async def check(client, peer, addresses):
            await client.call("b", Echo("x"), TIMEOUT_S)
            await wait_until(lambda: client.channel_count == 0)
            await client.call("b", Echo("again"), TIMEOUT_S)

        self.patch(grpc_transport, "IDLE_CHANNEL_S", 0.0)
        self.patch(grpc_transport, "SWEEP_INTERVAL_S", 0.01)
        self.run_pair(check)

    @with_system(anyio.run)
    async def test_plain_text_is_refused_except_on_loopback(self):
        """Without TLS files, the network could carry unencrypted connections."""
        transport = GrpcTransport("a", MessageRouter(), lambda name: "192.0.2.1:1")
        with testtools.ExpectedException(ServingError):
            async with transport.serving("0.0.0.0:0"):
                pass
        error = await self.unreachable(transport, "b", Echo("x"))
        self.assertFalse(error.sent)


class MutualTlsTest(GrpcTransportTest):
    """Repeats the transport tests with mutual TLS and tests certificate checks."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.authority = CertificateAuthority()

    def issue_tls(self, name, *addresses, authority=None):
        authority = authority or self.authority
        return TlsMaterial.from_files(authority.issue(self.directory, name, *addresses))

    def run_pair(self, function, server_tls=None, client_tls=None, client_name="a"):
        super().run_pair(
            function,
            server_tls or self.issue_tls("b", "127.0.0.1"),
            client_tls or self.issue_tls("a"),
            client_name,
        )

    def check_unreachable(self, **options):
        async def check(client, peer, addresses):
            await self.unreachable(client, "b", Echo("x"))
            with testtools.ExpectedException(PeerUnreachable):
                async with client.stream("b", Echo("x")) as replies:
                    await anext(replies)
            self.assertEqual([], peer.received)
            self.assertFalse(peer.stream_ended.is_set())

        self.run_pair(check, **options)

    def test_client_certificate_of_another_authority_is_refused(self):
        """Guards against a server that accepts certificates of any authority."""
        other = CertificateAuthority("other authority")
        self.check_unreachable(client_tls=self.issue_tls("a", authority=other))

    def test_client_without_a_certificate_is_refused(self):
        """The server must require a client certificate."""
        tls_without_certificate = self.issue_tls("a")
        self.patch(
            tls_without_certificate,
            "channel_credentials",
            lambda: tls_module.grpc.ssl_channel_credentials(
                tls_without_certificate._contents.authority
            ),
        )
        self.check_unreachable(client_tls=tls_without_certificate)

    @with_system(anyio.run)
    async def test_plain_text_client_is_refused(self):
        """A TLS listener could accept plain text as well."""
        peer = EchoPeer()
        server = GrpcTransport("b", peer.router, {}.get, self.issue_tls("b"))
        async with server.serving("127.0.0.1:0") as address:
            client = GrpcTransport("a", MessageRouter(), lambda name: address)
            await self.unreachable(client, "b", Echo("x"))
        self.assertEqual([], peer.received)

    def test_sender_name_must_match_the_client_certificate(self):
        """No daemon may send messages under another daemon's name."""
        self.check_unreachable(client_name="c")

    def test_member_name_must_match_the_server_certificate(self):
        """Guards against a daemon that answers at the address of another daemon."""
        self.check_unreachable(server_tls=self.issue_tls("c"))

    @with_own_system("run_pair")
    async def test_seed_is_reached_by_its_address(self, client, peer, addresses):
        """If only the address is known, the TLS name check must not fail."""
        reply = await client.call(addresses["b"], Echo("x"), TIMEOUT_S)
        self.assertEqual("a:x", reply.text)

    def test_reload_without_a_restart(self):
        """Changing certificates must not need a restart."""
        server_tls = self.issue_tls("b")
        client_tls = self.issue_tls("a")
        new_authority = CertificateAuthority("new authority")

        async def check(client, peer, addresses):
            await client.call("b", Echo("old"), TIMEOUT_S)
            new_authority.issue(self.directory, "a")
            client_tls.reload()
            error = await self.unreachable(client, "b", Echo("x"))
            self.assertFalse(error.sent)
            new_authority.issue(self.directory, "b")
            server_tls.reload()
            while True:
                # The channel reconnects after its back-off.
                try:
                    await client.call("b", Echo("new"), TIMEOUT_S)
                    break
                except PeerUnreachable:
                    await anyio.sleep(0.05)
            self.assertEqual([("a", "old"), ("a", "new")], peer.received)

        self.run_pair(check, server_tls, client_tls)

    def test_mismatched_key_and_certificate_are_not_used(self):
        """A reload may come while only some of the files have been replaced."""
        material = self.issue_tls("a")
        key_path = pathlib.Path(material._files.key)
        key = key_path.read_bytes()
        self.authority.issue(self.directory, "a")
        key_path.write_bytes(key)
        material.reload()
        self.assertEqual(1, material.version)
