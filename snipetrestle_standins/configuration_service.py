"""Stand-in for the configuration service: versioned values to read and watch."""

import urllib.parse
from collections import Counter

import anyio

from snipetrestle.publication.sources import Reading, SourceUnreachable, Unchanged
from snipetrestle_standins.http_answers import (
    query_parameters,
    revision_header,
    run_lifespan,
    send_response,
)

MAX_VALUE_BYTES = 1_000_000


class ConfigurationService:
    """Stores values with revisions by key and wakes watchers when one changes.

    ``calls`` counts the calls of ``read`` and ``watch``, ``sent_bytes`` the bytes of
    the values that they returned. While ``down``, each call fails. Between ``freeze``
    and ``thaw`` the service answers with the values it had at ``freeze``, like a
    replica that lags behind.
    """

    def __init__(self):
        self.calls = Counter()
        self.sent_bytes = 0
        self.down = False
        self._readings_by_key = {}
        self._frozen = None
        self._changed = anyio.Event()

    def publish(self, document, revision=None, key="snipetrestle"):
        """Stores a value, by default with the next revision, and returns its revision.

        Raises ValueError if the value exceeds MAX_VALUE_BYTES.
        """
        if isinstance(document, str):
            document = document.encode()
        if len(document) > MAX_VALUE_BYTES:
            raise ValueError(
                f"a value of {len(document)} bytes exceeds the maximum size"
            )
        if revision is None:
            latest = self._readings_by_key.get(key)
            revision = 1 if latest is None else latest.revision + 1
        self._readings_by_key[key] = Reading(revision, document)
        self._wake_watchers()
        return revision

    def revision(self, key="snipetrestle"):
        """Returns the current revision of a key; 0 without a value."""
        reading = self._find(key)
        return 0 if reading is None else reading.revision

    def restore(self, revision, document, key="snipetrestle"):
        """Goes back to an older value, as after a restore from a copy."""
        self._readings_by_key[key] = Reading(revision, document)

    def freeze(self):
        self._frozen = dict(self._readings_by_key)

    def thaw(self):
        self._frozen = None
        self._wake_watchers()

    def set_down(self, down):
        self.down = down
        self._wake_watchers()

    def read(self, key):
        """Returns the Reading of a key or None. Raises SourceUnreachable while down."""
        self.calls["read"] += 1
        self._raise_if_down()
        return self._count_sent(self._find(key))

    async def watch(self, key, after_revision, wait_s):
        """Waits for a revision above ``after_revision`` and returns its Reading.

        Returns None after ``wait_s`` seconds. Raises SourceUnreachable while down.
        """
        self.calls["watch"] += 1
        with anyio.move_on_after(wait_s):
            while True:
                self._raise_if_down()
                reading = self._find(key)
                if reading is not None and reading.revision > after_revision:
                    return self._count_sent(reading)
                await self._changed.wait()
        return None

    def _count_sent(self, reading):
        if reading is not None:
            self.sent_bytes += len(reading.document)
        return reading

    def _find(self, key):
        readings = self._readings_by_key if self._frozen is None else self._frozen
        return readings.get(key)

    def _raise_if_down(self):
        if self.down:
            raise SourceUnreachable("the configuration service is down")

    def _wake_watchers(self):
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
            raise SourceUnreachable(f"no value is stored under {part or self._key}")
        return reading

    async def watch(self, after_revision):
        reading = await self._service.watch(
            self._key, after_revision, self._watch_wait_s
        )
        return reading or Unchanged(self._service.revision(self._key))


def configuration_app(service):
    """Returns the ASGI application of a ConfigurationService."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        key = urllib.parse.unquote(scope["path"].removeprefix("/v1/values/"))
        query = query_parameters(scope)
        try:
            if "after" in query:
                reading = await service.watch(
                    key, int(query["after"]), float(query.get("wait", 30.0))
                )
                if reading is None:
                    headers = [revision_header(service.revision(key))]
                    await send_response(send, 304, b"", headers)
                    return
            else:
                reading = service.read(key)
        except SourceUnreachable:
            await send_response(send, 503)
            return
        if reading is None:
            await send_response(send, 404)
            return
        await send_response(
            send, 200, reading.document, [revision_header(reading.revision)]
        )

    return app
