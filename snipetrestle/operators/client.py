"""HTTP client of a daemon's operator interface, for the command line."""

import ssl

import httpcore
import msgspec

REQUEST_TIMEOUT_S = 5.0


class OperatorCallFailed(Exception):
    """The daemon refused the call or could not be reached."""


class OperatorClient:
    """Client of one daemon.

    ``authority`` is the path of a PEM file that verifies the daemon at an https URL.
    All calls raise OperatorCallFailed.
    """

    def __init__(self, url, key, authority=None):
        self._url = url.rstrip("/")
        self._headers = [("Authorization", f"Bearer {key}")]
        context = ssl.create_default_context(cafile=authority) if authority else None
        self._pool = httpcore.ConnectionPool(ssl_context=context)

    def get(self, path, response_type):
        """Returns the response decoded as ``response_type``."""
        return msgspec.json.decode(self._request("GET", path), type=response_type)

    def post(self, path):
        """Sends a POST request without a body."""
        self._request("POST", path)

    def close(self):
        self._pool.close()

    def _request(self, method, path):
        timeouts = dict.fromkeys(
            ("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S
        )
        try:
            response = self._pool.request(
                method,
                self._url + path,
                headers=self._headers,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise OperatorCallFailed(f"{self._url}: {error!r}") from None
        if response.status >= 300:
            detail = response.content.decode(errors="replace")
            raise OperatorCallFailed(f"{self._url}: HTTP {response.status}: {detail}")
        return response.content
