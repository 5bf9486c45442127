"""Exchange of the published state between hosts.

While the platform's store is down, hosts fetch all items from one that is ahead. At any
time they fetch the operator's documents from a host that knows newer ones, since a
store that was restored from a copy may lack them.
"""

import asyncio

import anyio
import msgspec

from snipetrestle.compression import compress, decompress
from snipetrestle.decoding import decode
from snipetrestle.gateway.publication.published_items import (
    Origin,
    PublishedItem,
    Revision,
    StoreItems,
    Way,
)
from snipetrestle.listening import ConnectionSlots, Listener
from snipetrestle.sockets import count_unsent_bytes

# Limits the time without progress, not a whole transfer over a slow link.
PEER_SILENCE_TIMEOUT_S = 1.0
CHUNK_BYTES = 65_536
CHECK_INTERVAL_S = 0.3
UNSENT_CHECK_INTERVAL_S = 0.02
MAX_CONTENT_BYTES = 16 * 1024 * 1024
# Connections of other hosts that are served at a time, if there are descriptors for
# them. Further ones wait.
MAX_SERVED_CONNECTIONS = 32
# A transfer that takes longer is abandoned, even while bytes still arrive.
MAX_TRANSFER_S = 20.0
# New documents that are short reach all hosts by way of the store within this time. Only
# then are they fetched from another host.
DOCUMENTS_LAG_S = 0.4
_LENGTH_BYTES = 4
# Requests the documents. No key prefix has a control character.
_DOCUMENTS_REQUEST = "\x01documents"


class Content(msgspec.Struct, array_like=True, frozen=True):
    """Snapshot of a prefix: its known items at a position of the store.

    ``documents`` are the operator's documents that are newer than those of the items.
    """

    revision: Revision
    items: list[PublishedItem]
    epoch: Revision = 0
    documents: list[PublishedItem] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Content)


def pack_content(content):
    """Returns a Content in compressed form: configurations are long, links slow."""
    return compress(_encoder.encode(content))


def unpack_content(data):
    """Returns the Content of ``pack_content``. Raises ValueError."""
    return decode(_decoder, decompress(data, MAX_CONTENT_BYTES))


class Snapshots:
    """Serves snapshots over TCP, and fetches those of other hosts.

    ``transfers`` counts those on their way.
    """

    def __init__(self, state, hosts, rng, transfers):
        self._state = state
        self._hosts = hosts
        self._rng = rng
        self._transfers = transfers
        # Set while another host has newer documents.
        self._is_behind = anyio.Event()
        self._slots = None
        # The sum of the versions of the documents that were fetched last.
        self._fetched_sum = 0

    def serve(self, address, max_connections):
        """Returns a Listener at ``(ip, port)``. Raises OSError."""
        self._slots = ConnectionSlots(min(max_connections, MAX_SERVED_CONNECTIONS))
        return Listener.open(address, self._create_connection, self._slots)

    def _create_connection(self):
        reader = asyncio.StreamReader()
        return asyncio.StreamReaderProtocol(reader, self._serve_connection)

    async def _serve_connection(self, reader, writer):
        with self._slots.taken():
            await self._serve_request(reader, writer)

    async def _serve_request(self, reader, writer):
        try:
            async with (
                asyncio.timeout(MAX_TRANSFER_S),
                asyncio.timeout(PEER_SILENCE_TIMEOUT_S) as silence_timeout,
            ):
                line = await reader.readline()
                silence_timeout.reschedule(None)
                content = self._content(line.decode("latin-1").rstrip("\n"))
                if content is not None:
                    data = pack_content(content)
                    with self._transfers.in_progress():
                        await _write_chunks(
                            writer, len(data).to_bytes(_LENGTH_BYTES) + data
                        )
        except (OSError, TimeoutError, ValueError):
            # The other host tries again.
            pass
        finally:
            # What is left is not read any more, and must hold no descriptor.
            writer.transport.abort()

    def _content(self, request):
        """Returns the Content of a prefix or of the documents; None for others."""
        documents_by_key = self._state.documents.items_by_key
        if request == _DOCUMENTS_REQUEST:
            return Content(0, [], 0, list(documents_by_key.values()))
        if request not in self._state.feeds:
            return None
        feed_state = self._state.feeds[request]
        newer_documents = [
            item
            for item in documents_by_key.values()
            if not feed_state.has_current(item)
        ]
        store_items = self._state.snapshot(request)
        return Content(
            store_items.revision,
            store_items.items,
            store_items.epoch,
            newer_documents,
        )

    async def run(self):
        """Fetches items from other hosts whenever they are needed."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            for prefix in self._state.feeds:
                if self._state.is_unreachable(prefix):
                    await self._fetch_newer_items(prefix)

    def note_heartbeat(self, heartbeat):
        """Notes whether the sender of a heartbeat has newer documents."""
        if heartbeat.document_version_sum > self._known_sum:
            self._is_behind.set()

    @property
    def _known_sum(self):
        """The sum of versions that this host has, or has fetched without using them."""
        return max(self._state.documents.version_sum, self._fetched_sum)

    async def follow_documents(self):
        """Fetches documents from another host if the store does not bring them."""
        while True:
            await self._is_behind.wait()
            self._is_behind = anyio.Event()
            await anyio.sleep(DOCUMENTS_LAG_S)
            await self._fetch_newer_documents()

    async def _fetch_newer_items(self, prefix):
        """Fetches the items of a prefix from a host that is ahead of this one.

        Only hosts in the latest known epoch of the store are asked. Revisions of
        earlier ones may be higher, but belong to a history that was replaced.
        """
        newest = self._state.feeds[prefix].newest_position
        hosts = [
            host
            for host in self._hosts.reachable()
            if host.heartbeat.newest_position(prefix) > newest
        ]
        if not hosts:
            return
        epoch = max(host.heartbeat.newest_position(prefix).epoch for host in hosts)
        host = self._rng.choice(
            [
                host
                for host in hosts
                if host.heartbeat.newest_position(prefix).epoch == epoch
            ]
        )
        content = await self._fetch_from(host, prefix)
        if content is not None:
            self._state.replace_items(
                prefix,
                StoreItems(content.items, content.revision, content.epoch),
                Origin(Way.SNAPSHOT, host.info.name),
            )
            self._state.accept_documents(content.documents)

    async def _fetch_newer_documents(self):
        """Fetches the operator's documents if another host still has newer ones.

        After a failure, the next heartbeat of such a host starts another attempt.
        """
        known_sum = self._known_sum
        hosts = [
            host
            for host in self._hosts.reachable()
            if host.heartbeat.document_version_sum > known_sum
        ]
        if not hosts:
            return
        host = self._rng.choice(self._nearest(hosts))
        content = await self._fetch_from(host, _DOCUMENTS_REQUEST)
        if content is not None:
            # Documents that this host cannot use are not fetched again and again.
            self._fetched_sum = host.heartbeat.document_version_sum
            self._state.accept_documents(content.documents)

    def _nearest(self, hosts):
        """Returns those of this host's failure domain, or if there are none, all."""
        own_domain = self._hosts.own.failure_domain
        near = [host for host in hosts if host.info.failure_domain == own_domain]
        return near or hosts

    async def _fetch_from(self, host, request):
        """Returns the Content that a host sends; None without an answer.

        The next round picks a host again.
        """
        try:
            async with asyncio.timeout(MAX_TRANSFER_S):
                with self._transfers.in_progress():
                    return await _fetch(host.info.ip, host.info.port, request)
        except (OSError, TimeoutError, EOFError, ValueError):
            return None


async def _write_chunks(writer, content):
    """Sends content. Returns once the other host has received all of it."""
    for start in range(0, len(content), CHUNK_BYTES):
        writer.write(content[start : start + CHUNK_BYTES])
        async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
            await writer.drain()
    loop = asyncio.get_running_loop()
    unsent_bytes = None
    async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S) as silence_timeout:
        # No event tells that the other host has received the last bytes.
        while remaining_bytes := count_unsent_bytes(writer.transport):
            if remaining_bytes != unsent_bytes:
                unsent_bytes = remaining_bytes
                silence_timeout.reschedule(loop.time() + PEER_SILENCE_TIMEOUT_S)
            await asyncio.sleep(UNSENT_CHECK_INTERVAL_S)


async def _fetch(ip, port, request):
    async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request.encode() + b"\n")
        async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
            length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES))
        if length > MAX_CONTENT_BYTES:
            raise EOFError("the snapshot is too large")
        content = bytearray()
        while len(content) < length:
            async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
                chunk = await reader.read(length - len(content))
            if not chunk:
                raise EOFError("the snapshot ended early")
            content += chunk
        return unpack_content(content)
    finally:
        writer.close()
