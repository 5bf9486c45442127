"""HTTP clients of the configuration service and the host list.

A value is at ``GET /v1/values/KEY`` and carries its revision in the ``ETag`` header as a
quoted number. ``?after=REVISION&wait=SECONDS`` holds the answer until the value is
newer; 304 means that the wait ran out. The host list is at ``GET /v1/hosts``, in JSON;
``If-None-Match`` with a known revision is answered with 304.
"""

import urllib.parse
import zlib

import httpcore
import msgspec

from snipetrestle.publication.sources import HostList, Reading, SourceUnreachable

# The service answers in milliseconds, so a longer silence means that it is down.
READ_TIMEOUT_S = 5.0
# How long the service holds a watch. A pending watch counts as one call.
WATCH_WAIT_S = 30.0

# A list of 4,230 hosts takes 0.6 MB in plain JSON. Each daemon reads it after each
# change, so it is asked for in compressed form.
MAX_LIST_BYTES = 16 * 1024 * 1024
_ACCEPT_GZIP = (b"Accept-Encoding", b"gzip")

_host_list_decoder = msgspec.json.Decoder(HostList)


class _HttpSource:
    def __init__(self, base_url, pool=None):
        self._base_url = base_url.rstrip("/")
        self._pool = pool or httpcore.AsyncConnectionPool(
            max_connections=4, keepalive_expiry=60.0
        )

    async def aclose(self):
        await self._pool.aclose()

    async def _get(self, path, timeout, headers=()):
        """Returns the response. Raises SourceUnreachable unless it is 200 or 304."""
        try:
            response = await self._pool.request(
                "GET",
                self._base_url + path,
                headers=list(headers),
                extensions={
                    "timeout": {
                        "connect": READ_TIMEOUT_S,
                        "read": timeout,
                        "write": READ_TIMEOUT_S,
                        "pool": READ_TIMEOUT_S,
                    }
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise SourceUnreachable(f"{path}: {error!r}") from None
        if response.status not in (200, 304):
            raise SourceUnreachable(f"{path}: HTTP status {response.status}")
        return response


class HttpConfigurationSource(_HttpSource):
    """ConfigurationSource over HTTP. ``key`` names the value of the document."""

    def __init__(self, base_url, key="snipetrestle", pool=None):
        super().__init__(base_url, pool)
        self._key = key

    async def read(self, part=""):
        key = f"{self._key}/{part}" if part else self._key
        response = await self._get(
            f"/v1/values/{urllib.parse.quote(key)}", READ_TIMEOUT_S
        )
        return _reading_of(response)

    async def watch(self, after_revision):
        response = await self._get(
            f"/v1/values/{urllib.parse.quote(self._key)}"
            f"?after={after_revision}&wait={WATCH_WAIT_S:g}",
            WATCH_WAIT_S + READ_TIMEOUT_S,
        )
        return None if response.status == 304 else _reading_of(response)


class HttpHostListSource(_HttpSource):
    """HostListSource over HTTP."""

    async def read(self, known_revision=0):
        headers = [_ACCEPT_GZIP]
        if known_revision:
            headers.append((b"If-None-Match", b'"%d"' % known_revision))
        response = await self._get("/v1/hosts", READ_TIMEOUT_S, headers)
        if response.status == 304:
            return None
        try:
            return _host_list_decoder.decode(_plain_content(response))
        except (msgspec.DecodeError, zlib.error) as error:
            raise SourceUnreachable(f"host list is malformed: {error}") from None


def _plain_content(response):
    """Returns the body of a response that may be compressed. Raises zlib.error."""
    if (b"content-encoding", b"gzip") not in [
        (name.lower(), value) for name, value in response.headers
    ]:
        return response.content
    decompressor = zlib.decompressobj(wbits=zlib.MAX_WBITS | 16)
    content = decompressor.decompress(response.content, MAX_LIST_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"cut off, or above {MAX_LIST_BYTES} bytes")
    return content


def _reading_of(response):
    for name, value in response.headers:
        if name.lower() == b"etag":
            try:
                return Reading(int(value.strip(b'"')), response.content)
            except ValueError:
                break
    raise SourceUnreachable("the answer carries no revision")
