"""ServiceClient over HTTP.

A call is ``POST /v1/OPERATION``, with the headers ``Idempotency-Key`` and
``Fencing-Number`` if the call has them. A service that refuses an old fencing number
answers 412 with the highest number that it has seen in ``Fencing-Number``.
"""

import urllib.parse

from snipetrestle.http_connections import (
    CONNECT_ERRORS,
    NETWORK_ERRORS,
    ConnectionPool,
    ServerConnections,
    TooManyConnections,
)
from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceAnswer,
    ServiceConnectionsExhausted,
    ServiceUnreachable,
)

OLD_FENCING_NUMBER_STATUS = 412
FENCING_HEADER = b"fencing-number"
OPERATION_PATH = "/v1/"


class HttpServiceClient:
    """Calls the servers of plain services in turn (round robin).

    ``apply`` sets the published configuration, which names the servers. Each call is
    one attempt at one server; the callers decide what may be retried. ``backend`` is
    the httpcore network backend; tests pass one that works in memory. ``connections``
    are the ServerConnections of the process, ``answer_memory`` its AnswerMemory.
    """

    def __init__(self, region=None, backend=None, connections=None, answer_memory=None):
        self._region = region
        self._answer_memory = answer_memory
        self._backend = backend
        self._connections = connections or ServerConnections()
        self._pools_by_address = {}
        self._configuration = None
        self._call_count = 0

    def apply(self, configuration):
        """Applies a published configuration."""
        self._configuration = configuration

    async def aclose(self):
        for pool in self._pools_by_address.values():
            await pool.aclose()

    async def call(self, call):
        """Returns the ServiceAnswer.

        Raises ServiceUnreachable or OldFencingNumber.
        """
        server = self._next_server(call.service)
        try:
            status, raw_headers, body = await self._pool_of(server).request(
                "POST",
                OPERATION_PATH + urllib.parse.quote(call.operation),
                _headers(call),
                call.body,
                timeout=call.timeout,
            )
        except TooManyConnections as error:
            raise ServiceConnectionsExhausted(str(error)) from None
        except CONNECT_ERRORS as error:
            raise ServiceUnreachable(f"{server.name}: {error!r}", sent=False) from None
        except NETWORK_ERRORS as error:
            raise ServiceUnreachable(f"{server.name}: {error!r}", sent=True) from None
        headers = {name.lower(): value for name, value in raw_headers}
        if status == OLD_FENCING_NUMBER_STATUS and FENCING_HEADER in headers:
            highest = headers[FENCING_HEADER]
            if not highest.isdigit():
                raise ServiceUnreachable(f"{server.name}: {highest!r}", sent=True)
            raise OldFencingNumber(int(highest))
        content_type = headers.get(b"content-type", b"application/octet-stream")
        return ServiceAnswer(status, body, content_type.decode("latin-1"))

    def _pool_of(self, server):
        pool = self._pools_by_address.get(server.address)
        if pool is None:
            pool = ConnectionPool(
                f"http://{server.address}",
                self._backend,
                connections=self._connections,
                answer_memory=self._answer_memory,
            )
            self._pools_by_address[server.address] = pool
        return pool

    def _next_server(self, service):
        """Returns the next server, preferably of this region.

        Raises ServiceUnreachable if the service has none.
        """
        servers = ()
        if self._configuration is not None:
            servers = self._configuration.servers_by_service.get(service, ())
        candidates = [
            server for server in servers if server.region == self._region
        ] or servers
        if not candidates:
            raise ServiceUnreachable(f"service {service} has no server", sent=False)
        self._call_count += 1
        return candidates[self._call_count % len(candidates)]


def _headers(call):
    headers = [(b"content-type", call.content_type.encode("latin-1"))]
    if call.idempotency_key is not None:
        headers.append((b"idempotency-key", call.idempotency_key.encode("latin-1")))
    if call.fencing_number is not None:
        headers.append((FENCING_HEADER, b"%d" % call.fencing_number))
    return headers
