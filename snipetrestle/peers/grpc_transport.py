"""PeerTransport over gRPC: one channel per peer, with mutual TLS except on loopback."""

import asyncio
import contextlib
import math

import anyio
import grpc
import msgspec
from grpc import aio

from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.peers import messages, peer_pb2, peer_pb2_grpc
from snipetrestle.peers.tls import TlsMaterial
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.settings import is_loopback

# A channel without calls for this long is closed. This is longer than the usual time
# between data path requests to the same peer, so TLS handshakes are rare.
IDLE_CHANNEL_S = 60.0
# Interval between searches for idle channels.
SWEEP_INTERVAL_S = 10.0
# Timeout of a connection attempt. A dead host does not refuse connections.
CONNECT_TIMEOUT_S = 1.0
# A server sends a keepalive on a connection without traffic after this time, so that
# connections of dead hosts do not accumulate. Clients send none: with 330 peers, one
# each 2 s is 165 messages per second, and membership detects a dead peer without them
# (see ``GrpcTransport.drop``).
KEEPALIVE_INTERVAL_MS = 60_000
KEEPALIVE_TIMEOUT_MS = 20_000
# Connections are closed after this time, which also ends those whose certificate is no
# longer trusted. Streams in progress finish first.
MAX_CONNECTION_AGE_MS = 3_600_000
# A connection on which the handshake takes longer is closed.
HANDSHAKE_TIMEOUT_MS = 5_000
# gRPC takes no larger bound of connections.
MAX_CONNECTIONS = 2**30
# Maximum message size. The largest messages are a published configuration of several
# megabytes and a request with a long prompt.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

_COMMON_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
)
_CHANNEL_OPTIONS = (
    *_COMMON_OPTIONS,
    # The callers decide which messages may be retried.
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", int(CONNECT_TIMEOUT_S * 1000)),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)
_SERVER_OPTIONS = (
    *_COMMON_OPTIONS,
    # Otherwise two daemons on one port would each get some of the connections.
    ("grpc.so_reuseport", 0),
    ("grpc.keepalive_time_ms", KEEPALIVE_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.max_connection_age_ms", MAX_CONNECTION_AGE_MS),
    ("grpc.server_handshake_timeout_ms", HANDSHAKE_TIMEOUT_MS),
)


class _PeerChannel:
    """A gRPC channel to a peer, with the number of open calls and streams on it."""

    __slots__ = (
        "address",
        "grpc_channel",
        "stub",
        "tls_version",
        "open_calls",
        "last_used",
    )

    def __init__(self, address, grpc_channel, tls_version):
        self.address = address
        self.grpc_channel = grpc_channel
        self.stub = peer_pb2_grpc.PeerStub(grpc_channel)
        self.tls_version = tls_version
        self.open_calls = 0
        self.last_used = 0.0


class GrpcTransport:
    """Sends messages to members by name and serves the handlers of a router.

    At most ``max_connections`` of peers are open at a time; gRPC closes further ones.
    ``address_of(name)`` returns ``IP:PORT`` or None. A member name that is itself an
    ``IP:PORT`` is a seed: its certificate must contain that IP address.
    """

    def __init__(
        self,
        own_name,
        router,
        address_of,
        tls=None,
        reload_interval_s=30.0,
        max_connections=math.inf,
    ):
        self.own_name = own_name
        self._router = router
        self._address_of = address_of
        self._tls = tls
        self._reload_interval_s = reload_interval_s
        self._max_connections = min(max_connections, MAX_CONNECTIONS)
        self._channels_by_member = {}
        self._retired_channels = set()
        self._heard_at_by_member = {}
        self._group = None

    @classmethod
    def from_settings(cls, settings, router, address_of, max_connections):
        """Builds a transport. Raises OSError or ssl.SSLError for unusable TLS files."""
        files = settings.tls.peers
        return cls(
            settings.daemon.name,
            router,
            address_of,
            tls=None if files is None else TlsMaterial.from_files(files),
            reload_interval_s=settings.tls.reload_interval_s,
            max_connections=max_connections,
        )

    @contextlib.asynccontextmanager
    async def serving(self, listen_address):
        """Serves peers at ``IP:PORT`` while the context is open; yields the address."""
        server = aio.server(
            options=(
                *_SERVER_OPTIONS,
                ("grpc.max_allowed_incoming_connections", int(self._max_connections)),
            )
        )
        peer_pb2_grpc.add_PeerServicer_to_server(_Servicer(self), server)
        bound_address = self._bind(server, listen_address)
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._sweep_channels)
            if self._tls is not None:
                group.start_soon(self._tls.run_reloads, self._reload_interval_s)
            await server.start()
            try:
                yield bound_address
            finally:
                with anyio.CancelScope(shield=True):
                    await server.stop(0)
                    await self._close_all()
                group.cancel_scope.cancel()

    def _bind(self, server, listen_address):
        if self._tls is not None:
            port = server.add_secure_port(
                listen_address, self._tls.server_credentials()
            )
        elif is_loopback(listen_address):
            port = server.add_insecure_port(listen_address)
        else:
            raise ServingError(
                ResultCode.INVALID_SETTINGS,
                "plain text is allowed on loopback only",
                field="listen.peers",
                value=listen_address,
            )
        return f"{listen_address.rpartition(':')[0]}:{port}"

    # Client

    async def call(self, member, message, timeout):
        """Returns the reply. Raises PeerUnreachable or ServingError."""
        envelope = self._to_envelope(message)
        deadline = anyio.current_time() + timeout
        async with self._connected(member, timeout) as stub:
            # From here on the message may have been sent.
            time_left = max(0.0, deadline - anyio.current_time())
            call = stub.Call(envelope, timeout=time_left)
            try:
                reply = await call
            except aio.AioRpcError as error:
                raise _unreachable_error(member, error) from None
            except asyncio.CancelledError:
                _raise_if_scope_cancelled()
                raise PeerUnreachable(member, True, "the call was closed") from None
        self.note_heard(member)
        return _decode_reply(member, reply)

    @contextlib.asynccontextmanager
    async def stream(self, member, message):
        """Opens a stream of replies. Leaving the context cancels it at the peer."""
        envelope = self._to_envelope(message)
        async with self._connected(member, CONNECT_TIMEOUT_S) as stub:
            call = stub.Stream(envelope)
            try:
                yield self._read_stream(member, call)
            finally:
                call.cancel()

    async def _read_stream(self, member, call):
        try:
            async for envelope in call:
                self.note_heard(member)
                yield _decode_reply(member, envelope)
        except aio.AioRpcError as error:
            raise _unreachable_error(member, error) from None
        except asyncio.CancelledError:
            _raise_if_scope_cancelled()
            raise PeerUnreachable(member, True, "the stream was closed") from None

    def note_heard(self, member):
        """Records the time of a message from a member."""
        self._heard_at_by_member[member] = anyio.current_time()

    def last_heard(self, member):
        """Returns the event loop time of a member's last message, or -inf."""
        return self._heard_at_by_member.get(member, -math.inf)

    def _to_envelope(self, message):
        type_name, body = messages.encode(message)
        return peer_pb2.Envelope(type=type_name, body=body, sender=self.own_name)

    @contextlib.asynccontextmanager
    async def _connected(self, member, timeout):
        """Yields the stub of a connected channel.

        Raises PeerUnreachable with ``sent`` false if no connection is established in
        time.
        """
        channel = self._channel_of(member)
        channel.open_calls += 1
        try:
            with anyio.move_on_after(min(timeout, CONNECT_TIMEOUT_S)) as scope:
                await self._wait_ready(member, channel)
            if scope.cancelled_caught:
                raise PeerUnreachable(member, False, "no connection in time")
            yield channel.stub
        finally:
            channel.open_calls -= 1
            channel.last_used = anyio.current_time()
            if channel in self._retired_channels and not channel.open_calls:
                self._retired_channels.discard(channel)
                with anyio.CancelScope(shield=True):
                    await channel.grpc_channel.close()

    async def _wait_ready(self, member, channel):
        state = channel.grpc_channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise PeerUnreachable(member, False, "no connection")
            if state is grpc.ChannelConnectivity.SHUTDOWN:
                raise PeerUnreachable(member, False, "the transport is closed")
            await channel.grpc_channel.wait_for_state_change(state)
            state = channel.grpc_channel.get_state(try_to_connect=True)

    def _channel_of(self, member):
        address = self._address_of(member) or (member if _is_address(member) else None)
        if address is None:
            raise PeerUnreachable(member, False, "no address is known")
        tls_version = 0 if self._tls is None else self._tls.version
        channel = self._channels_by_member.get(member)
        if channel is not None:
            if (channel.address, channel.tls_version) == (address, tls_version):
                return channel
            self._retire_channel(member)
        channel = _PeerChannel(
            address, self._open_channel(member, address), tls_version
        )
        self._channels_by_member[member] = channel
        return channel

    def _open_channel(self, member, address):
        if self._tls is None:
            if not is_loopback(address):
                raise PeerUnreachable(
                    member, False, "plain text is allowed on loopback only"
                )
            return aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        options = _CHANNEL_OPTIONS
        if not _is_address(member):
            # The certificate must contain the member's name, not only its address.
            options += (("grpc.ssl_target_name_override", member),)
        return aio.secure_channel(
            address, self._tls.channel_credentials(), options=options
        )

    def _retire_channel(self, member):
        self._retired_channels.add(self._channels_by_member.pop(member))

    async def _sweep_channels(self):
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            now = anyio.current_time()
            for member, channel in tuple(self._channels_by_member.items()):
                if not channel.open_calls and now - channel.last_used > IDLE_CHANNEL_S:
                    self._retire_channel(member)
            self._forget_silent_members(now)
            for channel in [
                item for item in self._retired_channels if not item.open_calls
            ]:
                self._retired_channels.discard(channel)
                await channel.grpc_channel.close()

    def _forget_silent_members(self, now):
        heard = self._heard_at_by_member
        for member in [name for name in heard if now - heard[name] > IDLE_CHANNEL_S]:
            del heard[member]

    async def _close_all(self):
        channels = [*self._channels_by_member.values(), *self._retired_channels]
        self._channels_by_member.clear()
        self._retired_channels.clear()
        for channel in channels:
            await channel.grpc_channel.close()

    def in_use(self, member):
        """Tells whether calls or streams to a member are open."""
        channel = self._channels_by_member.get(member)
        return channel is not None and channel.open_calls > 0

    async def drop(self, member):
        """Closes the channel to a member; its open calls raise PeerUnreachable."""
        channel = self._channels_by_member.pop(member, None)
        if channel is not None:
            await channel.grpc_channel.close()

    @property
    def channel_count(self):
        """Number of open channels, including those that close after their last call."""
        return len(self._channels_by_member) + len(self._retired_channels)

    # Server

    async def handle_call(self, sender, message):
        """Runs a handler to completion, even if the caller stops waiting for it."""
        replies, receive = anyio.create_memory_object_stream(1)
        self._group.start_soon(self._run_handler, sender, message, replies)
        with receive:
            return await receive.receive()

    async def _run_handler(self, sender, message, replies):
        with replies:
            try:
                reply = await self._router.call(sender, message)
            except ServingError as error:
                reply = messages.refusal_of(error)
            except Exception as error:
                reply = _internal_refusal(message, error)
            with contextlib.suppress(anyio.BrokenResourceError):
                replies.send_nowait(reply)

    async def handle_stream(self, sender, message):
        """Yields the replies of a stream handler, and a Refusal if it fails."""
        try:
            async with contextlib.aclosing(
                self._router.stream(sender, message)
            ) as replies:
                async for reply in replies:
                    yield reply
        except ServingError as error:
            yield messages.refusal_of(error)
        except Exception as error:
            yield _internal_refusal(message, error)

    def refusal_for(self, message_type_name, message):
        """Returns a Refusal for a message without a handler, else None."""
        if message is not None and self._router.has_handler(type(message)):
            return None
        return messages.refusal_of(
            ServingError(
                ResultCode.MALFORMED_REQUEST,
                f"no handler for message type {message_type_name}",
            )
        )


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Implements the generated gRPC service by calling the transport."""

    def __init__(self, transport):
        self._transport = transport

    async def Call(self, request, context):  # noqa: N802
        await _check_sender(request, context)
        self._transport.note_heard(request.sender)
        message = _decode_if_known(request)
        reply = self._transport.refusal_for(request.type, message)
        if reply is None:
            reply = await self._transport.handle_call(request.sender, message)
        return self._transport._to_envelope(reply)

    async def Stream(self, request, context):  # noqa: N802
        await _check_sender(request, context)
        self._transport.note_heard(request.sender)
        message = _decode_if_known(request)
        refusal = self._transport.refusal_for(request.type, message)
        if refusal is not None:
            yield self._transport._to_envelope(refusal)
            return
        replies = self._transport.handle_stream(request.sender, message)
        async with contextlib.aclosing(replies):
            async for reply in replies:
                yield self._transport._to_envelope(reply)


async def _check_sender(request, context):
    """Aborts the call if the client certificate does not contain the sender's name."""
    auth_properties = context.auth_context()
    if b"ssl" not in auth_properties.get("transport_security_type", ()):
        # Plain text connections are accepted on loopback only.
        return
    names = auth_properties.get("x509_subject_alternative_name", ())
    if request.sender.encode() not in names:
        log_event(
            Event.PEER_NAME_REFUSED,
            sender=request.sender,
            certificate_names=[name.decode(errors="replace") for name in names],
        )
        await context.abort(
            grpc.StatusCode.PERMISSION_DENIED,
            "the certificate does not contain the sender's name",
        )


def _decode_reply(member, envelope):
    """Returns the reply. Raises PeerUnreachable, or the ServingError of a refusal."""
    try:
        return messages.decode_reply(envelope.type, envelope.body)
    except (KeyError, ValueError, msgspec.DecodeError) as error:
        raise PeerUnreachable(
            member, True, f"the reply is malformed: {error!r}"
        ) from None


def _decode_if_known(envelope):
    """Returns the message, or None if its type is unknown or its body is malformed."""
    try:
        return messages.decode(envelope.type, envelope.body)
    except (KeyError, msgspec.DecodeError):
        return None


def _unreachable_error(member, error):
    return PeerUnreachable(member, True, f"{error.code().name}: {error.details()}")


def _raise_if_scope_cancelled():
    # grpc raises CancelledError for a closed channel too. Only a cancellation of the
    # calling task may be raised further.
    if asyncio.current_task().cancelling():
        raise asyncio.CancelledError


def _internal_refusal(message, error):
    log_event(
        Event.INTERNAL_ERROR, message_type=type(message).__name__, detail=repr(error)
    )
    return messages.refusal_of(ServingError(ResultCode.INTERNAL, type(error).__name__))


def _is_address(text):
    try:
        is_loopback(text)
    except ValueError:
        return False
    return True
