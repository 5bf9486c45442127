"""Loopback proxy that injects network faults into the connections through it."""

import asyncio
import contextlib
import enum

READ_BYTES = 65_536


class LinkFault(enum.Enum):
    """Fault of a link. Stalled bytes are held back until the fault ends."""

    NONE = enum.auto()
    DELAYED = enum.auto()
    ANSWERS_STALLED = enum.auto()
    STALLED = enum.auto()
    RESET = enum.auto()


class LoopbackProxy:
    """Forwards connections to ``target``, an (ip, port), with the fault that is set.

    ``delay_s`` is the delay of each read while the link is DELAYED.
    """

    def __init__(self, target, delay_s=0.15):
        self._target = target
        self._delay_s = delay_s
        self._fault = LinkFault.NONE
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers = set()
        self._tasks = set()
        self._server = None
        self.address = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self):
        """Aborts all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set_fault(self, fault):
        """Applies a fault to new and open connections until another one is set."""
        self._fault = fault
        if fault is LinkFault.RESET:
            self.reset()
        if fault in (LinkFault.STALLED, LinkFault.ANSWERS_STALLED):
            self._healed.clear()
        else:
            self._healed.set()

    def _accept(self, reader, writer):
        task = asyncio.get_running_loop().create_task(self._connect(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, reader, writer):
        if self._fault is LinkFault.RESET:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            self._writers.add(target_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._copy(reader, target_writer, False))
                    group.create_task(self._copy(target_reader, writer, True))
            finally:
                self._writers.discard(target_writer)
                target_writer.close()
        self._writers.discard(writer)
        writer.close()

    async def _copy(self, reader, writer, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self._fault is LinkFault.DELAYED:
                    await asyncio.sleep(self._delay_s)
                if is_answer or self._fault is LinkFault.STALLED:
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
        if writer.can_write_eof():
            with contextlib.suppress(OSError):
                writer.write_eof()
