"""Stand-in of the configuration service: values with revisions, read and watched."""

import urllib.parse
from collections import Counter

import anyio

from snipetrestle.publication.sources import Reading, SourceUnreachable
from snipetrestle_standins.http_answers import (
    answer,
    query_of,
    revision_header,
    run_lifespan,
)

# Largest value that the service holds.
MAX_VALUE_BYTES = 1_000_000


class ConfigurationService:
    """Values by key.

    ``calls`` counts reads and watches by kind, ``sent_bytes`` the values given out.

    While ``down``, each call fails. ``freeze`` makes the service answer with the values
    it has now until ``thaw``, as a replica does that lags behind.
    """

    def __init__(self):
        self.calls = Counter()
        self.sent_bytes = 0
        self.down = False
        self._readings_by_key = {}
        self._frozen = None
        self._changed = anyio.Event()

    def publish(self, document, revision=None, key="snipetrestle"):
        """Stores a value and returns its revision."""
        if isinstance(document, str):
            document = document.encode()
        if len(document) > MAX_VALUE_BYTES:
            raise ValueError(f"a value of {len(document)} bytes is too large")
        if revision is None:
            known = self._readings_by_key.get(key)
            revision = 1 if known is None else known.revision + 1
        self._readings_by_key[key] = Reading(revision, document)
        self._wake()
        return revision

    def freeze(self):
        self._frozen = dict(self._readings_by_key)

    def thaw(self):
        self._frozen = None
        self._wake()

    def set_down(self, down):
        self.down = down
        self._wake()

    def read(self, key):
        """Returns the reading or None. Raises SourceUnreachable while down."""
        self.calls["read"] += 1
        self._check_up()
        return self._give(self._find(key))

    async def watch(self, key, after_revision, wait_s):
        """Returns a newer reading, or None after ``wait_s`` seconds."""
        self.calls["watch"] += 1
        with anyio.move_on_after(wait_s):
            while True:
                self._check_up()
                reading = self._find(key)
                if reading is not None and reading.revision > after_revision:
                    return self._give(reading)
                await self._changed.wait()
        return None

    def _give(self, reading):
        if reading is not None:
            self.sent_bytes += len(reading.document)
        return reading

    def _find(self, key):
        readings = self._readings_by_key if self._frozen is None else self._frozen
        return readings.get(key)

    def _check_up(self):
        if self.down:
            raise SourceUnreachable("the configuration service is down")

    def _wake(self):
        self._changed.set()
        self._changed = anyio.Event()


class LocalConfigurationSource:
    """ConfigurationSource that calls a ConfigurationService in the same process."""

    def __init__(self, service, key="snipetrestle", watch_wait_s=30.0):
        self._service = service
        self._key = key
        self._watch_wait_s = watch_wait_s

    async def read(self, part=""):
        reading = self._service.read(f"{self._key}/{part}" if part else self._key)
        if reading is None:
            raise SourceUnreachable(f"there is no value {part or self._key}")
        return reading

    async def watch(self, after_revision):
        return await self._service.watch(self._key, after_revision, self._watch_wait_s)


def configuration_app(service):
    """Returns the ASGI application of a ConfigurationService."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        key = urllib.parse.unquote(scope["path"].removeprefix("/v1/values/"))
        query = query_of(scope)
        try:
            if "after" in query:
                reading = await service.watch(
                    key, int(query["after"]), float(query.get("wait", 30.0))
                )
                if reading is None:
                    await answer(send, 304)
                    return
            else:
                reading = service.read(key)
        except SourceUnreachable:
            await answer(send, 503)
            return
        if reading is None:
            await answer(send, 404)
            return
        await answer(send, 200, reading.document, [revision_header(reading.revision)])

    return app
