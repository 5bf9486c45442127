"""HTTP clients of the configuration service and the host list.

``GET /v1/values/KEY`` returns a value, with its revision as a quoted number in the
``ETag`` header. With ``?after=REVISION&wait=SECONDS`` the service holds the response
until the value is newer, or answers 304 after the wait, with the current revision.
``GET /v1/hosts`` returns the host list in JSON, or 304 if ``If-None-Match`` contains
its current revision.
"""

import re
import typing
import urllib.parse
import zlib

import msgspec

from snipetrestle.decoding import decode
from snipetrestle.events import Event, log_event
from snipetrestle.http_connections import NETWORK_ERRORS, ConnectionPool
from snipetrestle.publication.sources import (
    Host,
    HostList,
    Reading,
    Revision,
    SourceUnreachable,
    Unchanged,
)

# The service answers in milliseconds, so a longer silence means that it is down.
READ_TIMEOUT_S = 5.0
# How long the service holds a watch. However long it is held, a watch is one call.
WATCH_WAIT_S = 30.0

# Limit of an answer, and of the decompressed host list. A list of 4,230 hosts takes
# 0.6 MB in plain JSON. Each daemon reads it after each change, so it is requested in
# compressed form.
MAX_CONTENT_BYTES = 16 * 1024 * 1024
_ACCEPT_GZIP = (b"Accept-Encoding", b"gzip")


class _RawHostList(msgspec.Struct):
    """The host list before its hosts are decoded, each by itself."""

    revision: Revision
    hosts: tuple[msgspec.Raw, ...]


_host_list_decoder = msgspec.json.Decoder(_RawHostList)
_host_decoder = msgspec.json.Decoder(Host)
# Revisions are sent in messages, whose integers have 64 bits.
_REVISION = re.compile(rb"[0-9]{1,18}")


class _Answer(typing.NamedTuple):
    """Status, headers and body of an answer."""

    status: int
    headers: list
    content: bytes


class _HttpSource:
    """Base class with a connection pool for one base URL."""

    def __init__(self, base_url, backend=None):
        self._pool = ConnectionPool(base_url, backend, connect_timeout=READ_TIMEOUT_S)

    async def aclose(self):
        await self._pool.aclose()

    async def _get(self, path, timeout, headers=()):
        """Returns the _Answer. Raises SourceUnreachable unless it is 200 or 304.

        ``timeout`` limits the whole call. Answers carry no id, so each call has its own
        connection: a late second copy of one answer would be read as the next one.
        """
        try:
            answer = _Answer(
                *await self._pool.request(
                    "GET", path, headers, timeout=timeout, max_bytes=MAX_CONTENT_BYTES
                )
            )
        except NETWORK_ERRORS as error:
            raise SourceUnreachable(f"{path}: {error!r}") from None
        if answer.status not in (200, 304):
            raise SourceUnreachable(f"{path}: HTTP status {answer.status}")
        return answer


class HttpConfigurationSource(_HttpSource):
    """ConfigurationSource over HTTP. ``key`` is the key of the published document."""

    def __init__(self, base_url, key="snipetrestle", backend=None):
        super().__init__(base_url, backend)
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
        if response.status == 304:
            return Unchanged(_revision_of(response))
        return _reading_of(response)


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
            return _host_list_of(_decompressed_content(response))
        except (msgspec.DecodeError, zlib.error) as error:
            raise SourceUnreachable(f"host list is malformed: {error}") from None


def _decompressed_content(response):
    """Returns the body of a response, decompressed if needed. Raises zlib.error."""
    if (b"content-encoding", b"gzip") not in [
        (name.lower(), value) for name, value in response.headers
    ]:
        return response.content
    decompressor = zlib.decompressobj(wbits=zlib.MAX_WBITS | 16)
    content = decompressor.decompress(response.content, MAX_CONTENT_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"truncated, or above {MAX_CONTENT_BYTES} bytes")
    return content


def _host_list_of(content):
    """Returns the HostList without odd hosts, which are logged.

    Raises msgspec.DecodeError, also if no host can be read.
    """
    host_list = decode(_host_list_decoder, content)
    hosts = []
    for raw in host_list.hosts:
        try:
            hosts.append(decode(_host_decoder, raw))
        except msgspec.DecodeError as error:
            log_event(Event.ENTRY_UNREADABLE, key="hosts", error=str(error))
    if host_list.hosts and not hosts:
        raise msgspec.DecodeError("no host can be read")
    return HostList(host_list.revision, tuple(hosts))


def _reading_of(response):
    """Returns the Reading in a response. Raises SourceUnreachable if malformed."""
    revision = _revision_of(response)
    if revision is None:
        raise SourceUnreachable("response has no ETag header with a revision")
    return Reading(revision, response.content)


def _revision_of(response):
    """Returns the revision in the ETag header; None if there is none."""
    for name, value in response.headers:
        if name.lower() == b"etag":
            digits = value.strip(b'"')
            return int(digits) if _REVISION.fullmatch(digits) else None
    return None
