"""Stand-in for the store of the users' platform: reads, watches, history, outages."""

import asyncio
import base64
import enum
import urllib.parse

import msgspec

from snipetrestle_standins.platform_http import StandInServer, json_response, response

FIRST_REVISION = 100
MAX_PAGE_ITEMS = 50


class StoreMode(enum.Enum):
    """How the store responds to calls."""

    UP = enum.auto()
    BUSY = enum.auto()
    NO_RESPONSE = enum.auto()
    RESET = enum.auto()
    MALFORMED = enum.auto()


class StoreCopy:
    """The content of a store at one revision, from which it can be restored."""

    __slots__ = ("revision", "items_by_key", "history", "history_start")

    def __init__(self, revision, items_by_key, history, history_start):
        self.revision = revision
        self.items_by_key = items_by_key
        self.history = history
        self.history_start = history_start


class PlatformStore(StandInServer):
    """Stores items with revisions and the history of changes.

    A watch from a revision that the history does not have gets status 410. Each
    response names the ``epoch``, which counts the times that the store was restored.
    ``calls`` counts the calls.
    """

    def __init__(self):
        super().__init__()
        self.mode = StoreMode.UP
        self.calls = 0
        self.epoch = 1
        # Pause before each tenth of a response, as on a slow link.
        self.chunk_delay_s = 0.0
        self.revision = FIRST_REVISION
        self._items_by_key = {}
        self._history = []
        self._history_start = FIRST_REVISION
        self._changed = asyncio.Event()

    def put(self, key, content):
        """Writes an item. ``content`` is encoded as JSON unless it is bytes."""
        value = content if isinstance(content, bytes) else msgspec.json.encode(content)
        known = self._items_by_key.get(key)
        created = self.revision + 1 if known is None else known["created"]
        fields = {"created": created, "value": base64.b64encode(value).decode()}
        self._change(key, fields)

    def delete(self, key):
        """Deletes an item and records the deletion in the history."""
        self._change(key, {"deleted": True})

    def _change(self, key, fields):
        self.revision += 1
        item = {"key": key, "revision": self.revision, **fields}
        if "deleted" in fields:
            self._items_by_key.pop(key, None)
        else:
            self._items_by_key[key] = item
        self._history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    def compact_history(self):
        """Drops the history of changes, as a compaction does."""
        self._history.clear()
        self._history_start = self.revision

    def claim_complete_history(self):
        """Answers watches from any revision, as a store that has discarded nothing."""
        self._history_start = 0

    def copy(self):
        """Returns a StoreCopy of the current content."""
        return StoreCopy(
            self.revision,
            dict(self._items_by_key),
            list(self._history),
            self._history_start,
        )

    def restore(self, copy):
        """Goes back to a copy; all that was written since then is lost."""
        self.epoch += 1
        self.revision = copy.revision
        self._items_by_key = dict(copy.items_by_key)
        self._history = list(copy.history)
        self._history_start = copy.history_start
        self.reset_connections()

    async def serve(self, request, writer):
        self.calls += 1
        if self.mode is StoreMode.NO_RESPONSE:
            await asyncio.Event().wait()
        if self.mode is StoreMode.RESET:
            writer.transport.abort()
            return
        if self.mode is StoreMode.BUSY:
            writer.write(response(503, self._headers()))
            return
        if self.mode is StoreMode.MALFORMED:
            writer.write(response(200, self._headers(), b'{"events": 3'))
            return
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/kv-range":
            await self._write(writer, self._range(fields))
        else:
            await self._write(writer, await self._watch(fields))

    async def _write(self, writer, content):
        size = max(1, len(content) // 10) if self.chunk_delay_s else len(content)
        for start in range(0, len(content), size):
            await asyncio.sleep(self.chunk_delay_s)
            writer.write(content[start : start + size])
            await writer.drain()

    def _headers(self):
        return [("Store-Era", str(self.epoch))]

    def _response(self, status, content):
        return json_response(status, content, self._headers())

    def _range(self, fields):
        after = fields.get("after", "")
        keys = sorted(
            key
            for key in self._items_by_key
            if key.startswith(fields["prefix"]) and key > after
        )
        return self._response(
            200,
            {
                "items": [self._items_by_key[key] for key in keys[:MAX_PAGE_ITEMS]],
                "has_more": len(keys) > MAX_PAGE_ITEMS,
                "at": self.revision,
            },
        )

    async def _watch(self, fields):
        after = int(fields["after"])
        deadline = asyncio.get_running_loop().time() + int(fields["wait_ms"]) / 1000
        while True:
            if not self._history_start <= after <= self.revision:
                return self._response(410, {})
            events = [
                item
                for item in self._history
                if item["revision"] > after and item["key"].startswith(fields["prefix"])
            ]
            time_left_s = deadline - asyncio.get_running_loop().time()
            if events or time_left_s <= 0:
                return self._response(200, {"events": events, "at": self.revision})
            try:
                async with asyncio.timeout(time_left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
