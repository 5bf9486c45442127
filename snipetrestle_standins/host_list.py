"""Stand-in of the platform's host list, which shows changes after a lag."""

import gzip
from collections import Counter, deque

import anyio
import msgspec

from snipetrestle.publication.sources import (
    HostList,
    HostState,
    SourceUnreachable,
)
from snipetrestle_standins.http_answers import answer, revision_header, run_lifespan


class HostListService:
    """Hosts by name. A change is visible ``lag_s`` seconds after it was made."""

    def __init__(self, lag_s=0.0):
        self.lag_s = lag_s
        self.down = False
        self.calls = Counter()
        self._hosts_by_name = {}
        self._revision = 0
        self._shown = HostList(0, ())
        self._pending = deque()

    def put(self, *hosts):
        for host in hosts:
            self._hosts_by_name[host.name] = host
        self._record()

    @property
    def current(self):
        """The hosts as they are, without the lag."""
        return tuple(self._hosts_by_name.values())

    def set_leaving(self, name):
        host = self._hosts_by_name[name]
        self.put(msgspec.structs.replace(host, state=HostState.LEAVING))

    def remove(self, name):
        del self._hosts_by_name[name]
        self._record()

    def read(self):
        """Returns the list as it was ``lag_s`` ago. Raises SourceUnreachable."""
        self.calls["read"] += 1
        if self.down:
            raise SourceUnreachable("the host list is down")
        while self._pending and self._pending[0][0] <= anyio.current_time():
            self._shown = self._pending.popleft()[1]
        return self._shown

    def _record(self):
        self._revision += 1
        hosts = HostList(self._revision, tuple(self._hosts_by_name.values()))
        if self.lag_s:
            self._pending.append((anyio.current_time() + self.lag_s, hosts))
        else:
            self._pending.clear()
            self._shown = hosts


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
            await answer(send, 503)
            return
        request_headers = dict(scope["headers"])
        headers = [revision_header(hosts.revision)]
        if request_headers.get(b"if-none-match") == headers[0][1]:
            await answer(send, 304, headers=headers)
            return
        body = msgspec.json.encode(hosts)
        if b"gzip" in request_headers.get(b"accept-encoding", b""):
            body = gzip.compress(body, mtime=0)
            headers.append((b"content-encoding", b"gzip"))
        await answer(send, 200, body, headers)

    return app
