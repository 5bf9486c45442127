"""Hosts give each other what the platform published, for when its store is silent."""

import asyncio

import anyio
import msgspec

from snipetrestle.gateway.published_state import PublishedItem, Reading

# Bounds the silence of the other host, and not a transfer over a slow link.
SILENCE_S = 1.0
PART_BYTES = 65_536
CHECK_S = 0.3
MAX_CONTENT_BYTES = 16 * 1024 * 1024
_LENGTH_BYTES = 4


class Content(msgspec.Struct, array_like=True, frozen=True):
    """The known items of a prefix, as of a revision of the store."""

    revision: int
    items: list[PublishedItem]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Content)


class Snapshots:
    """Serves snapshots over TCP, and fetches newer ones while the store is down."""

    def __init__(self, state, hosts, generator):
        self._state = state
        self._hosts = hosts
        self._generator = generator

    async def serve(self, ip, port):
        """Returns the listening server. Raises OSError."""
        return await asyncio.start_server(self._answer, ip, port)

    async def _answer(self, reader, writer):
        try:
            async with asyncio.timeout(SILENCE_S):
                line = await reader.readline()
            prefix = line.decode("latin-1").rstrip("\n")
            if prefix in self._state.feeds:
                reading = self._state.snapshot(prefix)
                content = _encoder.encode(Content(reading.revision, reading.items))
                await _send(writer, len(content).to_bytes(_LENGTH_BYTES) + content)
        except (OSError, TimeoutError, ValueError):
            # The other host asks again.
            pass
        finally:
            writer.close()

    async def run(self):
        """Fetches what other hosts know and the store does not tell this one."""
        while True:
            await anyio.sleep(CHECK_S)
            for prefix in self._state.feeds:
                if self._state.is_down(prefix):
                    await self._fetch_newer(prefix)

    async def _fetch_newer(self, prefix):
        state = self._state.feeds[prefix]
        ahead = [
            host
            for host in self._hosts.reachable()
            if host.heartbeat.newest_by_prefix.get(prefix, 0) > state.newest
        ]
        if not ahead:
            return
        host = self._generator.choice(ahead)
        try:
            content = await _fetch(host.info.ip, host.info.port, prefix)
        except (OSError, TimeoutError, EOFError, msgspec.DecodeError):
            # Another host is asked in the next round.
            return
        self._state.apply_reading(prefix, Reading(content.items, content.revision))


async def _send(writer, content):
    for start in range(0, len(content), PART_BYTES):
        writer.write(content[start : start + PART_BYTES])
        async with asyncio.timeout(SILENCE_S):
            await writer.drain()


async def _fetch(ip, port, prefix):
    async with asyncio.timeout(SILENCE_S):
        reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(prefix.encode() + b"\n")
        async with asyncio.timeout(SILENCE_S):
            length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES))
        if length > MAX_CONTENT_BYTES:
            raise EOFError("the snapshot is too large")
        content = bytearray()
        while len(content) < length:
            async with asyncio.timeout(SILENCE_S):
                part = await reader.read(length - len(content))
            if not part:
                raise EOFError("the snapshot ended early")
            content += part
        return _decoder.decode(content)
    finally:
        writer.close()
