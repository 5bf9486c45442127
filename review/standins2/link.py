"""A TCP link that can be cut like a network partition."""

import asyncio
import contextlib

READ_BYTES = 65_536


class Link:
    """Forwards connections to ``target`` (ip, port).

    While the link is cut, bytes of both directions are held up. When it heals they
    arrive, unless their sender has closed the connection meanwhile: PROTOCOL and DEPLOY
    say that they are lost then. A new connection gets no answer while the link is cut.
    """

    def __init__(self, target):
        self._target = target
        self._healed = asyncio.Event()
        self._healed.set()
        self._tasks = set()
        self._server = None
        self.address = None
        # Since when bytes of the daemon wait for an answer; None if none do.
        self.asked_at = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self):
        self._healed.clear()

    def heal(self):
        self._healed.set()

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._connect(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, reader, writer):
        try:
            await self._healed.wait()
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, False),
                self._copy(target_reader, writer, True),
            )
        finally:
            target_writer.close()
            writer.close()

    async def _copy(self, reader, writer, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if not self._healed.is_set():
                    await self._healed.wait()
                    # Lets the event loop notice an end that came meanwhile.
                    await asyncio.sleep(0)
                    if reader.at_eof() or reader.exception() is not None:
                        break
                now = asyncio.get_running_loop().time()
                self.asked_at = None if is_answer else now
                writer.write(data)
                await writer.drain()
        await self._healed.wait()
        writer.close()
