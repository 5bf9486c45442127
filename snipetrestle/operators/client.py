"""HTTP client of a daemon's operator interface, for the command line."""

import ssl

import anyio
import msgspec

from snipetrestle.http_connections import NETWORK_ERRORS, ConnectionPool

REQUEST_TIMEOUT_S = 5.0
# The report of all adapters of a daemon is the largest answer.
MAX_REPORT_BYTES = 64 * 1024 * 1024


class OperatorCallFailed(Exception):
    """The daemon refused the call or could not be reached."""


class OperatorClient:
    """Client of one daemon.

    ``authority`` is the path of a PEM file that verifies the daemon at an https URL.
    All calls raise OperatorCallFailed.
    """

    def __init__(self, url, key, authority=None):
        self._url = url
        self._headers = [(b"Authorization", f"Bearer {key}".encode())]
        self._ssl_context = (
            ssl.create_default_context(cafile=authority) if authority else None
        )

    def get(self, path, response_type):
        """Returns the response decoded as ``response_type``."""
        return msgspec.json.decode(self._request("GET", path), type=response_type)

    def post(self, path):
        """Sends a POST request without a body."""
        self._request("POST", path)

    def _request(self, method, path):
        try:
            status, body = anyio.run(self._send, method, path)
        except (*NETWORK_ERRORS, ValueError) as error:
            raise OperatorCallFailed(f"{self._url}: {error!r}") from None
        if status >= 300:
            detail = body.decode(errors="replace")
            raise OperatorCallFailed(f"{self._url}: HTTP {status}: {detail}")
        return body

    async def _send(self, method, path):
        pool = ConnectionPool(
            self._url,
            ssl_context=self._ssl_context,
            connect_timeout=REQUEST_TIMEOUT_S,
        )
        status, _, body = await pool.request(
            method,
            path,
            self._headers,
            timeout=REQUEST_TIMEOUT_S,
            max_bytes=MAX_REPORT_BYTES,
        )
        return status, body
