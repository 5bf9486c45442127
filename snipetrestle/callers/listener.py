"""HTTP listener: a uvicorn server inside the daemon, with limits on connections."""

import contextlib
import logging
import ssl

import anyio
import uvicorn

from snipetrestle.caller_memory import CallerMemory
from snipetrestle.callers.connection import FIRST_REQUEST_WAIT_S, CallerConnection
from snipetrestle.callers.handshake import TlsHandshake, connection_bytes
from snipetrestle.codes import ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.listening import Listener
from snipetrestle.parse_turns import ParseTurns
from snipetrestle.pem_files import read_pem_files
from snipetrestle.process_limits import ProcessLimits
from snipetrestle.settings import IntakeSettings, is_loopback, split_address

# An idle connection is closed after this time.
KEEPALIVE_TIMEOUT_S = 75
# Timeout for responses in progress when the listener closes. A drain completes them
# before.
CLOSE_TIMEOUT_S = 5
_FIRST_REQUEST_POLL_S = 0.02
_START_POLL_S = 0.002


class _Server(uvicorn.Server):
    """Server that leaves signal handling to the command line.

    Connections that were opened just before its port closes can still send a request.
    """

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    def __init__(self, config):
        super().__init__(config)
        self._memory = config.http.memory
        self._handshakes = set()

    async def startup(self, sockets=None):
        address = (self.config.host, self.config.port)
        self.servers = [Listener.open(address, self._create_protocol, self._memory)]
        self.started = True

    async def shutdown(self, sockets=None):
        """Closes the port, and returns once the last responses have been sent."""
        for listener in self.servers:
            listener.close()
        with anyio.move_on_after(FIRST_REQUEST_WAIT_S):
            # No event tells that a new connection has stayed silent for too long.
            while self._expects_first_requests:  # noqa: ASYNC110
                await anyio.sleep(_FIRST_REQUEST_POLL_S)
        await super().shutdown(sockets)

    def _create_protocol(self):
        """Returns the protocol of a new connection."""
        if self.config.ssl is None:
            return self._create_connection()
        return TlsHandshake(
            self.config.ssl, self._create_connection, self._memory, self._handshakes
        )

    def _create_connection(self):
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    @property
    def _expects_first_requests(self):
        return (
            any(listener.is_opening for listener in self.servers)
            or bool(self._handshakes)
            or any(
                connection.may_send_first_request
                for connection in self.server_state.connections
            )
        )


def make_uvicorn_config(
    app, intake=None, host="127.0.0.1", port=0, tls=None, memory=None
):
    """Returns the uvicorn configuration of a listener.

    ``memory`` is the CallerMemory that bounds what its connections hold.
    """
    intake = intake or IntakeSettings()
    if memory is None:
        memory = CallerMemory(
            ProcessLimits.from_machine(),
            lambda: intake,
            connection_bytes=connection_bytes(tls),
        )
    # uvicorn takes a protocol class, so each listener needs a subclass for its limits.
    protocol = type(
        "ListenerConnection",
        (CallerConnection,),
        {"intake": intake, "memory": memory, "parse_turns": ParseTurns()},
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
async def serving(
    app, address, tls=None, intake=None, reload_interval_s=30.0, memory=None
):
    """Serves an ASGI application at ``IP:PORT`` while the context is open.

    ``memory`` is the CallerMemory that bounds what its connections hold. Yields the
    address with the actual port. Raises ServingError for plain text on an address other
    than loopback. Certificates are reloaded every ``reload_interval_s`` seconds.
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
    config = make_uvicorn_config(app, intake, host, port, tls, memory)
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
