"""In-memory transport between daemons, with cuts, delays, pauses and kills.

Messages are encoded and decoded as on the wire. A paused member stops wherever it calls
or is called: it sends nothing, handles nothing and gets no reply until it is resumed.
"""

import contextlib
import math

import anyio

from snipetrestle.codes import ServingError
from snipetrestle.peers import messages
from snipetrestle.peers.transport import PeerUnreachable


class _Endpoint:
    """One run of a member: its router, its handlers' scopes and whether it runs."""

    __slots__ = ("name", "router", "handler_scopes", "resumed")

    def __init__(self, name, router):
        self.name = name
        self.router = router
        self.handler_scopes = set()
        self.resumed = anyio.Event()
        self.resumed.set()

    @contextlib.contextmanager
    def cancelled_by_kill(self):
        """Runs a handler in a scope that ``kill`` cancels."""
        with anyio.CancelScope() as scope:
            self.handler_scopes.add(scope)
            try:
                yield
            finally:
                self.handler_scopes.discard(scope)


class InMemoryNetwork:
    """Connects members in one process. Use as an async context manager.

    Each message and each reply takes ``delay_s`` seconds. ``sent_messages`` and
    ``sent_bytes`` count both.
    """

    def __init__(self, delay_s=0.0005):
        self.delay_s = delay_s
        self.sent_messages = 0
        self.sent_bytes = 0
        self._endpoints_by_name = {}
        self._cut_pairs = set()
        self._task_group = None

    async def __aenter__(self):
        self._task_group = anyio.create_task_group()
        await self._task_group.__aenter__()
        return self

    async def __aexit__(self, *details):
        self._task_group.cancel_scope.cancel()
        return await self._task_group.__aexit__(*details)

    def attach(self, name, router):
        """Adds a member, in place of one with its name, and returns its transport."""
        self.kill(name)
        endpoint = _Endpoint(name, router)
        self._endpoints_by_name[name] = endpoint
        return InMemoryTransport(self, endpoint)

    def kill(self, name):
        """Removes a member and cancels its running handlers."""
        endpoint = self._endpoints_by_name.pop(name, None)
        if endpoint is not None:
            for scope in tuple(endpoint.handler_scopes):
                scope.cancel()

    def pause(self, name):
        endpoint = self._endpoints_by_name[name]
        if endpoint.resumed.is_set():
            endpoint.resumed = anyio.Event()

    def resume(self, name):
        self._endpoints_by_name[name].resumed.set()

    def cut(self, one, other):
        """Drops all messages between two members, in both directions."""
        self._cut_pairs.add(frozenset((one, other)))

    def partition(self, *sides):
        """Cuts every pair of members that are on different sides."""
        for index, side in enumerate(sides):
            for other_side in sides[index + 1 :]:
                for one in side:
                    for other in other_side:
                        self.cut(one, other)

    def heal(self):
        """Restores all connections."""
        self._cut_pairs.clear()

    def are_cut(self, one, other):
        return frozenset((one, other)) in self._cut_pairs

    def find(self, name):
        return self._endpoints_by_name.get(name)

    def count_message(self, body):
        self.sent_messages += 1
        self.sent_bytes += len(body)


class InMemoryTransport:
    """PeerTransport of one member of an InMemoryNetwork."""

    def __init__(self, network, endpoint):
        self._network = network
        self._endpoint = endpoint

    @property
    def member(self):
        return self._endpoint.name

    def resume(self):
        """Resumes this run of the member, even if a newer run has its name by now."""
        self._endpoint.resumed.set()

    async def wait_while_paused(self):
        """Waits while this member is paused."""
        while not self._endpoint.resumed.is_set():
            await self._endpoint.resumed.wait()

    async def call(self, member, message, timeout):
        await self.wait_while_paused()
        replies, receive = anyio.create_memory_object_stream(1)
        self._network._task_group.start_soon(self._deliver, member, message, replies)
        reply = None
        with receive, anyio.move_on_after(timeout):
            try:
                reply = await receive.receive()
            except anyio.EndOfStream:
                raise PeerUnreachable(member, False, "no such member") from None
        await self.wait_while_paused()
        if reply is None:
            raise PeerUnreachable(member, True, f"no reply within {timeout} s")
        return messages.decode_reply(*reply)

    @contextlib.asynccontextmanager
    async def stream(self, member, message):
        await self.wait_while_paused()
        replies, receive = anyio.create_memory_object_stream(math.inf)
        scope = anyio.CancelScope()
        self._network._task_group.start_soon(
            self._deliver_stream, member, message, replies, scope
        )
        try:
            yield self._read_stream(member, receive)
        finally:
            scope.cancel()
            receive.close()

    async def _read_stream(self, member, receive):
        async for kind, reply in receive:
            await self.wait_while_paused()
            if kind == "end":
                return
            yield messages.decode_reply(kind, reply)
        raise PeerUnreachable(member, True, "the stream broke")

    async def _deliver(self, member, message, replies):
        with replies:
            target = await self._reach(member, message)
            if target is None:
                return
            reply = None
            with target.cancelled_by_kill():
                reply = await self._handle(target, message)
            if reply is None:
                # The member was killed, so no reply is sent.
                await anyio.sleep_forever()
            kind, body = messages.encode(reply)
            self._network.count_message(body)
            await anyio.sleep(self._network.delay_s)
            if self._network.are_cut(self.member, member):
                await anyio.sleep_forever()
            with contextlib.suppress(anyio.BrokenResourceError):
                replies.send_nowait((kind, body))

    async def _reach(self, member, message):
        """Delays a message and returns the endpoint that receives it.

        Returns None if the member does not exist, so that it has certainly not got the
        message. Never returns if the members are cut off from each other.
        """
        _, body = messages.encode(message)
        self._network.count_message(body)
        await anyio.sleep(self._network.delay_s)
        if self._network.are_cut(self.member, member):
            await anyio.sleep_forever()
        target = self._network.find(member)
        if target is None:
            return None
        while not target.resumed.is_set():
            await target.resumed.wait()
        return target

    async def _handle(self, target, message):
        message = messages.decode(*messages.encode(message))
        try:
            reply = await target.router.call(self.member, message)
        except ServingError as error:
            reply = messages.refusal_of(error)
        while not target.resumed.is_set():
            await target.resumed.wait()
        return reply

    async def _deliver_stream(self, member, message, replies, scope):
        with replies, scope:
            target = await self._reach(member, message)
            if target is None:
                return
            message = messages.decode(*messages.encode(message))
            with target.cancelled_by_kill():
                try:
                    async for reply in target.router.stream(self.member, message):
                        await self._send_stream_reply(target, member, replies, reply)
                except ServingError as error:
                    await self._send_stream_reply(
                        target, member, replies, messages.refusal_of(error)
                    )
                with contextlib.suppress(anyio.BrokenResourceError):
                    replies.send_nowait(("end", b""))

    async def _send_stream_reply(self, target, member, replies, reply):
        while not target.resumed.is_set():
            await target.resumed.wait()
        kind, body = messages.encode(reply)
        self._network.count_message(body)
        await anyio.sleep(self._network.delay_s)
        if self._network.are_cut(self.member, member):
            await anyio.sleep_forever()
        # The receiver may have closed the stream while this message was in flight.
        with contextlib.suppress(anyio.BrokenResourceError):
            replies.send_nowait((kind, body))
