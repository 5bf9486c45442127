"""Exchange of the published state between hosts while the platform's store is down."""

import asyncio

import anyio
import msgspec

from snipetrestle.gateway.published_state import PublishedItem, StoreItems

# Limits the time without progress, not a whole transfer over a slow link.
PEER_SILENCE_TIMEOUT_S = 1.0
CHUNK_BYTES = 65_536
CHECK_INTERVAL_S = 0.3
MAX_CONTENT_BYTES = 16 * 1024 * 1024
# A transfer that takes longer is abandoned, even while bytes still arrive.
MAX_TRANSFER_S = 20.0
_LENGTH_BYTES = 4


class Content(msgspec.Struct, array_like=True, frozen=True):
    """Snapshot of a prefix: its known items at a revision of the store."""

    revision: int
    items: list[PublishedItem]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Content)


class Snapshots:
    """Serves snapshots over TCP, and fetches newer ones while the store is down."""

    def __init__(self, state, hosts, rng):
        self._state = state
        self._hosts = hosts
        self._rng = rng

    async def serve(self, ip, port):
        """Returns the listening server. Raises OSError."""
        return await asyncio.start_server(self._serve_connection, ip, port)

    async def _serve_connection(self, reader, writer):
        try:
            async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
                line = await reader.readline()
            prefix = line.decode("latin-1").rstrip("\n")
            if prefix in self._state.feeds:
                store_items = self._state.snapshot(prefix)
                content = _encoder.encode(
                    Content(store_items.revision, store_items.items)
                )
                await _write_chunks(
                    writer, len(content).to_bytes(_LENGTH_BYTES) + content
                )
        except (OSError, TimeoutError, ValueError):
            # The other host tries again.
            pass
        finally:
            writer.close()

    async def run(self):
        """Fetches newer items from other hosts while the store is unreachable."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            for prefix in self._state.feeds:
                if self._state.is_unreachable(prefix):
                    await self._fetch_newer(prefix)

    async def _fetch_newer(self, prefix):
        state = self._state.feeds[prefix]
        newer_hosts = [
            host
            for host in self._hosts.reachable()
            if host.heartbeat.newest_by_prefix.get(prefix, 0) > state.newest_revision
        ]
        if not newer_hosts:
            return
        host = self._rng.choice(newer_hosts)
        try:
            async with asyncio.timeout(MAX_TRANSFER_S):
                content = await _fetch(host.info.ip, host.info.port, prefix)
        except (OSError, TimeoutError, EOFError, msgspec.DecodeError):
            # The next round picks a host again.
            return
        self._state.replace_items(prefix, StoreItems(content.items, content.revision))


async def _write_chunks(writer, content):
    for start in range(0, len(content), CHUNK_BYTES):
        writer.write(content[start : start + CHUNK_BYTES])
        async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
            await writer.drain()


async def _fetch(ip, port, prefix):
    async with asyncio.timeout(PEER_SILENCE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(prefix.encode() + b"\n")
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
        return _decoder.decode(content)
    finally:
        writer.close()
