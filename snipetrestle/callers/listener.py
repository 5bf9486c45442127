"""HTTP listener: a uvicorn server inside the daemon, with limits on connections."""

import contextlib
import logging
import ssl

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from snipetrestle.callers.refusals import raw_error_response
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.lingering import LingeringTransport
from snipetrestle.listening import ListenerCloser
from snipetrestle.pem_files import read_pem_files
from snipetrestle.settings import IntakeSettings, is_loopback, split_address
from snipetrestle.sockets import count_unread_bytes

# Maximum size of the request line and headers together.
MAX_HEADER_BYTES = 32_768
# A connection whose send buffer stays full for this long is aborted.
SLOW_READER_TIMEOUT_S = 30.0
# An idle connection is closed after this time.
KEEPALIVE_TIMEOUT_S = 75
# Bytes that wait in the socket of an idle connection are read within this time.
UNREAD_BYTES_WAIT_S = 0.05
# Timeout for responses in progress when the listener closes. A drain completes them
# before.
CLOSE_TIMEOUT_S = 5
# While the listener closes, a new connection may send its first request for this long.
FIRST_REQUEST_WAIT_S = 0.5
_FIRST_REQUEST_POLL_S = 0.02
_START_POLL_S = 0.002


class LimitedHttpProtocol(HttpToolsProtocol):
    """HTTP protocol that limits connections, header time and size, and slow readers.

    Trailer fields are dropped, since they are no header fields.
    """

    intake = IntakeSettings()

    def connection_made(self, transport):
        super().connection_made(LingeringTransport(transport))
        self._slow_reader_timer = None
        self._header_timer = None
        self._header_bytes = self._unparsed_bytes = 0
        self._closes_after_request = False
        self._has_received = False
        self._opened_at = self.loop.time()
        if len(self.connections) > self.intake.max_connections:
            self._refuse(ResultCode.QUEUE_FULL, "too many connections")
            return
        self._expect_headers()

    def connection_lost(self, error):
        self._stop_header_timer()
        self._stop_slow_reader_timer()
        super().connection_lost(error)

    @property
    def may_send_first_request(self):
        """Whether the connection is new and its first request has not arrived yet."""
        return (
            not self._has_received
            and self.loop.time() < self._opened_at + FIRST_REQUEST_WAIT_S
        )

    def data_received(self, data):
        if self.transport.is_closing():
            return
        self._has_received = True
        super().data_received(data)
        # All data received before the end of the headers belongs to them.
        if self._header_timer is not None:
            self._unparsed_bytes += len(data)
            self._check_header_bytes(self._unparsed_bytes)

    def on_message_begin(self):
        super().on_message_begin()
        self._in_head = True
        self._header_bytes = self._unparsed_bytes = 0
        if self._header_timer is None:
            self._expect_headers()

    def on_header(self, name, value):
        if self._in_head:
            super().on_header(name, value)
        self._header_bytes += len(name) + len(value)
        self._check_header_bytes(self._header_bytes)

    def _check_header_bytes(self, count):
        if count > MAX_HEADER_BYTES:
            self._refuse(
                ResultCode.MALFORMED_REQUEST,
                "the headers are too large",
                field="headers",
                rule=f"must have at most {MAX_HEADER_BYTES} bytes",
            )

    def on_headers_complete(self):
        self._in_head = False
        self._stop_header_timer()
        if self.transport.is_closing():
            return
        super().on_headers_complete()
        if self._closes_after_request:
            self.cycle.keep_alive = False

    def shutdown(self):
        """Closes an idle connection; a request that has begun to arrive is answered."""
        if self._header_timer is not None and self._unparsed_bytes:
            self._closes_after_request = True
        elif count_unread_bytes(self.transport):
            self._closes_after_request = True
            self.loop.call_later(UNREAD_BYTES_WAIT_S, self._shut_down_if_idle)
        else:
            self._shut_down_if_idle()

    def _shut_down_if_idle(self):
        """Ends the connection unless a request is arriving or in progress on it."""
        if self._header_timer is not None and self._unparsed_bytes:
            return
        super().shutdown()

    def timeout_keep_alive_handler(self):
        """Closes an idle connection, unless bytes wait in its socket."""
        if count_unread_bytes(self.transport):
            self.timeout_keep_alive_task = self.loop.call_later(
                UNREAD_BYTES_WAIT_S, self.timeout_keep_alive_handler
            )
        else:
            super().timeout_keep_alive_handler()

    def send_400_response(self, msg):
        self._refuse(ResultCode.MALFORMED_REQUEST, "not a valid HTTP request")

    def pause_writing(self):
        super().pause_writing()
        if self._slow_reader_timer is None:
            self._slow_reader_timer = self.loop.call_later(
                SLOW_READER_TIMEOUT_S, self.transport.abort
            )

    def resume_writing(self):
        self._stop_slow_reader_timer()
        super().resume_writing()

    def _expect_headers(self):
        self._header_timer = self.loop.call_later(
            self.intake.header_timeout_s, self._refuse_late_headers
        )

    def _refuse_late_headers(self):
        self._refuse(ResultCode.REQUEST_TIMEOUT, "the headers did not arrive in time")

    def _refuse(self, code, detail="", **details):
        self._stop_header_timer()
        if not self.transport.is_closing():
            self.transport.write(raw_error_response(code, detail, **details))
            self.transport.close()

    def _stop_header_timer(self):
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _stop_slow_reader_timer(self):
        if self._slow_reader_timer is not None:
            self._slow_reader_timer.cancel()
            self._slow_reader_timer = None


class _Server(uvicorn.Server):
    """Server that leaves signal handling to the command line.

    Connections that were opened just before its port closes can still send a request.
    """

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def shutdown(self, sockets=None):
        """Closes the port, and returns once the last responses have been sent."""
        closer = ListenerCloser(self._create_protocol, self.config.ssl)
        for server in self.servers:
            closer.close(server)
        with anyio.move_on_after(FIRST_REQUEST_WAIT_S):
            # No event tells that a new connection has stayed silent for too long.
            while closer.is_opening or self._expects_first_requests:  # noqa: ASYNC110
                await anyio.sleep(_FIRST_REQUEST_POLL_S)
        await super().shutdown(sockets)

    def _create_protocol(self):
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    @property
    def _expects_first_requests(self):
        return any(
            connection.may_send_first_request
            for connection in self.server_state.connections
        )


def make_uvicorn_config(app, intake=None, host="127.0.0.1", port=0, tls=None):
    """Returns the uvicorn configuration of a listener."""
    # uvicorn takes a protocol class, so each listener needs a subclass for its limits.
    protocol = type(
        "ListenerProtocol",
        (LimitedHttpProtocol,),
        {"intake": intake or IntakeSettings()},
    )
    return uvicorn.Config(
        app,
        host=host,
        port=port,
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEPALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
        ssl_certfile=tls and tls.certificate,
        ssl_keyfile=tls and tls.key,
    )


@contextlib.asynccontextmanager
async def serving(app, address, tls=None, intake=None, reload_interval_s=30.0):
    """Serves an ASGI application at ``IP:PORT`` while the context is open.

    Yields the address with the actual port. Raises ServingError for plain text on an
    address other than loopback. Certificates are reloaded every ``reload_interval_s``
    seconds.
    """
    if tls is None and not is_loopback(address):
        raise ServingError(
            ResultCode.INVALID_SETTINGS,
            "plain text is allowed on loopback only",
            field="listen",
            value=address,
        )
    host, port = split_address(address)
    logging.getLogger("uvicorn.error").setLevel(logging.WARNING)
    config = make_uvicorn_config(app, intake, host, port, tls)
    server = _Server(config)
    async with anyio.create_task_group() as group:
        reload_scope = anyio.CancelScope()
        if tls is not None:
            config.load()
            group.start_soon(
                _reload_certificate, reload_scope, config.ssl, tls, reload_interval_s
            )
        group.start_soon(server.serve)
        while not server.started:  # noqa: ASYNC110 - uvicorn has no event for it
            await anyio.sleep(_START_POLL_S)
        socket_address = server.servers[0].sockets[0].getsockname()
        try:
            yield f"{address.rpartition(':')[0]}:{socket_address[1]}"
        finally:
            server.should_exit = True
            reload_scope.cancel()


async def _reload_certificate(scope, context, tls, interval_s):
    """Uses changed certificates for new connections until the scope is cancelled."""
    loaded_files = read_pem_files(tls)
    with scope:
        while True:
            await anyio.sleep(interval_s)
            try:
                contents = read_pem_files(tls)
                if contents == loaded_files:
                    continue
                context.load_cert_chain(tls.certificate, tls.key)
            except (OSError, ssl.SSLError) as error:
                log_event(Event.TLS_RELOAD_FAILED, detail=str(error))
                continue
            loaded_files = contents
            log_event(Event.TLS_RELOADED, certificate=tls.certificate)
