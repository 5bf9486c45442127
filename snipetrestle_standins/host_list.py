"""Stand-in for the platform's host list, which shows changes after a lag."""

import gzip
from collections import Counter, deque

import anyio
import msgspec

from snipetrestle.publication.sources import (
    HostList,
    HostState,
    SourceUnreachable,
)
from snipetrestle_standins.http_answers import (
    revision_header,
    run_lifespan,
    send_response,
)


class HostListService:
    """Stores hosts by name. Readers see a change ``lag_s`` seconds after it was made.

    While ``down``, each read fails. ``calls`` counts the reads.
    """

    def __init__(self, lag_s=0.0):
        self.lag_s = lag_s
        self.down = False
        self.calls = Counter()
        self._hosts_by_name = {}
        self._revision = 0
        self._visible_list = HostList(0, ())
        self._pending_lists = deque()

    def put(self, *hosts):
        """Adds hosts, or replaces those of the same names."""
        for host in hosts:
            self._hosts_by_name[host.name] = host
        self._publish_change()

    @property
    def current(self):
        """The hosts as they are now, without the lag."""
        return tuple(self._hosts_by_name.values())

    def restore(self, revision):
        """Gives revisions out again after a lower one, as after a restore."""
        self._revision = revision
        self._publish_change()

    def set_leaving(self, name):
        host = self._hosts_by_name[name]
        self.put(msgspec.structs.replace(host, state=HostState.LEAVING))

    def remove(self, name):
        del self._hosts_by_name[name]
        self._publish_change()

    def read(self):
        """Returns the HostList ``lag_s`` ago. Raises SourceUnreachable while down."""
        self.calls["read"] += 1
        if self.down:
            raise SourceUnreachable("the host list is down")
        while self._pending_lists and self._pending_lists[0][0] <= anyio.current_time():
            self._visible_list = self._pending_lists.popleft()[1]
        return self._visible_list

    def _publish_change(self):
        self._revision += 1
        hosts = HostList(self._revision, tuple(self._hosts_by_name.values()))
        if self.lag_s:
            self._pending_lists.append((anyio.current_time() + self.lag_s, hosts))
        else:
            self._pending_lists.clear()
            self._visible_list = hosts


class LocalHostListSource:
    """HostListSource that calls a HostListService in the same process."""

    def __init__(self, service):
        self._service = service

    async def read(self, known_revision=0):
        hosts = self._service.read()
        return None if hosts.revision == known_revision else hosts


def host_list_app(service):
    """Returns the ASGI application of a HostListService."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        try:
            hosts = service.read()
        except SourceUnreachable:
            await send_response(send, 503)
            return
        request_headers = dict(scope["headers"])
        headers = [revision_header(hosts.revision)]
        if request_headers.get(b"if-none-match") == headers[0][1]:
            await send_response(send, 304, headers=headers)
            return
        body = msgspec.json.encode(hosts)
        if b"gzip" in request_headers.get(b"accept-encoding", b""):
            body = gzip.compress(body, mtime=0)
            headers.append((b"content-encoding", b"gzip"))
        await send_response(send, 200, body, headers)

    return app
