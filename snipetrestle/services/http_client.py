"""ServiceClient over HTTP.

An operation is ``POST /v1/OPERATION``. The headers ``Idempotency-Key`` and
``Fencing-Number`` carry what the call has of them. A service that refuses an old
fencing number answers 412 with the highest number in ``Fencing-Number``.
"""

import urllib.parse

import httpcore

from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceAnswer,
    ServiceUnreachable,
)

CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 256
KEEPALIVE_S = 30.0
OLD_NUMBER_STATUS = 412
FENCING_HEADER = b"fencing-number"
OPERATION_PATH = "/v1/"

_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_LOST = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)


class HttpServiceClient:
    """Calls the servers of plain services, in turn.

    ``apply`` takes the published configuration, which names the servers. Each call is
    one attempt at one server; the layers above decide what may be repeated.
    """

    def __init__(self, region=None, pool=None):
        self._region = region
        self._pool = pool or httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_S
        )
        self._configuration = None
        self._turn = 0

    def apply(self, configuration):
        """Takes over a published configuration."""
        self._configuration = configuration

    async def aclose(self):
        await self._pool.aclose()

    async def call(self, call):
        """Raises ServiceUnreachable or OldFencingNumber."""
        server = self._next_server(call.service)
        try:
            response = await self._pool.request(
                "POST",
                f"http://{server.address}{OPERATION_PATH}{urllib.parse.quote(call.operation)}",
                headers=_headers(call),
                content=call.body,
                extensions={"timeout": _timeouts(call.timeout)},
            )
        except _NOT_SENT as error:
            raise ServiceUnreachable(f"{server.name}: {error!r}", sent=False) from None
        except _LOST as error:
            raise ServiceUnreachable(f"{server.name}: {error!r}", sent=True) from None
        headers = {name.lower(): value for name, value in response.headers}
        if response.status == OLD_NUMBER_STATUS and FENCING_HEADER in headers:
            raise OldFencingNumber(int(headers[FENCING_HEADER]))
        content_type = headers.get(b"content-type", b"application/octet-stream")
        return ServiceAnswer(
            response.status, response.content, content_type.decode("latin-1")
        )

    def _next_server(self, service):
        """Returns a server, of the own region if it has any. Raises ServiceUnreachable."""
        servers = ()
        if self._configuration is not None:
            servers = self._configuration.servers_by_service.get(service, ())
        near = [item for item in servers if item.region == self._region] or servers
        if not near:
            raise ServiceUnreachable(f"service {service} has no server", sent=False)
        self._turn += 1
        return near[self._turn % len(near)]


def _headers(call):
    headers = [(b"content-type", call.content_type.encode("latin-1"))]
    if call.idempotency_key is not None:
        headers.append((b"idempotency-key", call.idempotency_key.encode("latin-1")))
    if call.fencing_number is not None:
        headers.append((FENCING_HEADER, b"%d" % call.fencing_number))
    return headers


def _timeouts(read_s):
    return {
        "connect": min(CONNECT_TIMEOUT_S, read_s),
        "read": read_s,
        "write": read_s,
        "pool": min(CONNECT_TIMEOUT_S, read_s),
    }
