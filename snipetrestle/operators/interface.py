"""ASGI application for operators: reports, metrics, drain and confirm-stopped.

Every path requires an operator's API key. Customers' keys are refused.
"""

import fnmatch
import urllib.parse

import msgspec

from snipetrestle.api_keys import bearer_digest
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.operators.reports import adapter_reports, contract_reports

_encoder = msgspec.json.Encoder()


class OperatorInterface:
    """ASGI application that serves the reports and actions of an OperatorSource."""

    def __init__(self, source):
        self._source = source
        self._handlers_by_route = {
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/contracts"): self._contracts,
            ("GET", "/v1/adapters"): self._adapters,
            ("GET", "/v1/replicas"): self._replicas,
            ("POST", "/v1/drain"): self._drain,
            ("POST", "/v1/confirm-stopped"): self._confirm_stopped,
            ("GET", "/metrics"): self._metrics,
        }

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        try:
            status, content_type, body = self._handle(scope)
        except ServingError as error:
            status, content_type = error.code.http_status, "application/json"
            body = _encoder.encode(
                {
                    "code": str(error.code),
                    "message": error.code.meaning,
                    "detail": error.detail,
                }
            )
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [
                    (b"content-type", content_type.encode()),
                    (b"content-length", str(len(body)).encode()),
                ],
            }
        )
        await send({"type": "http.response.body", "body": body})

    def _handle(self, scope):
        """Returns (status, content type, body). Raises ServingError."""
        configuration = self._source.configuration()
        self._check_key(configuration, scope)
        handler = self._handlers_by_route.get((scope["method"], scope["path"]))
        if handler is None:
            raise ServingError(ResultCode.UNKNOWN_PATH, scope["path"])
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        return handler(configuration, query)

    def _check_key(self, configuration, scope):
        if configuration is None:
            raise ServingError(ResultCode.NOT_READY, "no configuration yet")
        headers = dict(scope["headers"])
        digest = bearer_digest(headers.get(b"authorization", b""))
        if digest not in configuration.operators_by_key:
            raise ServingError(ResultCode.BAD_KEY)

    def _status(self, configuration, query):
        return _json_response(self._source.daemon_report())

    def _contracts(self, configuration, query):
        return _json_response(contract_reports(configuration))

    def _adapters(self, configuration, query):
        pattern = query.get("name", "*")
        return _json_response(
            adapter_reports(
                configuration, lambda name: fnmatch.fnmatchcase(name, pattern)
            )
        )

    def _replicas(self, configuration, query):
        return _json_response(self._source.replica_reports())

    def _drain(self, configuration, query):
        self._source.start_drain()
        return 202, "application/json", b"{}"

    def _confirm_stopped(self, configuration, query):
        name = query.get("name", "")
        if name not in configuration.daemons_by_name:
            raise ServingError(ResultCode.UNKNOWN_PATH, f"no daemon {name!r}")
        self._source.confirm_stopped(name)
        return 202, "application/json", b"{}"

    def _metrics(self, configuration, query):
        return 200, "text/plain; version=0.0.4", self._source.metrics_text()


def _json_response(value):
    return 200, "application/json", _encoder.encode(value)
