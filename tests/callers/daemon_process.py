"""A daemon of the product as a process, with its platform and one service."""

import asyncio
import hashlib
import json
import os
import pathlib
import resource
import ssl
import sys

import yaml

from snipetrestle.callers.listener import serving
from snipetrestle.publication.sources import Host
from snipetrestle_standins.certificates import CertificateAuthority
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    configuration_app,
)
from snipetrestle_standins.data_path import contract
from snipetrestle_standins.engine_http import read_body
from snipetrestle_standins.host_list import HostListService, host_list_app
from snipetrestle_standins.http_answers import run_lifespan, send_response
from snipetrestle_standins.ports import free_port
from tests.stacked import StackedContext

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LOOPBACK = "127.0.0.1:0"
NAME = "entry-1"
REGION = "sicily"
API_KEY = "sample-key-counter"
OTHER_API_KEY = "sample-key-workshop"
SERVICE = "register"
LOOKUP_PATH = f"/v1/services/{SERVICE}/lookup"
# The service answers calls with this body after the time-out of its operations.
HELD_BODY = b'{"hold":1}'
LARGE_BODY = b'{"large":1}'
LARGE_ANSWER_BYTES = 4_000_000
HOLD_S = 30.0
POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 30.0


class DaemonProcess(StackedContext):
    """Runs ``serve`` with settings of its own. Use as an async context manager.

    ``settings`` are sections of the settings file. ``max_fds`` is the kernel's limit of
    descriptors of the process, or None. With ``uses_tls``, callers connect by TLS.
    """

    def __init__(self, folder, max_fds=None, uses_tls=False, **settings):
        self._folder = pathlib.Path(folder)
        self._settings = settings
        self._tls = None
        if uses_tls:
            files = CertificateAuthority().issue(self._folder, "127.0.0.1", "127.0.0.1")
            self._settings["tls"] = {
                "callers": {"certificate": files.certificate, "key": files.key}
            }
            self._tls = ssl.create_default_context(cafile=files.authority)
        self._max_fds = max_fds
        self._process = None
        self.addresses = {
            name: ("127.0.0.1", free_port())
            for name in ("callers", "peers", "operators")
        }

    async def _start(self):
        service_address = await self._serve(_answer)
        configuration, hosts = ConfigurationService(), HostListService()
        configuration.publish(json.dumps(_document(service_address)))
        hosts.put(Host(NAME, self._listen()["peers"], "palermo", REGION, 1.0))
        platform = {
            "configuration_service": await self._serve(
                configuration_app(configuration)
            ),
            "host_list": await self._serve(host_list_app(hosts)),
        }
        # Ends the open watches, so that the listeners close at once.
        self._stack.callback(configuration.set_down, True)
        settings_path = self._folder / "settings.yaml"
        settings_path.write_text(
            yaml.safe_dump(
                {
                    "daemon": {
                        "name": NAME,
                        "failure_domain": "palermo",
                        "region": REGION,
                    },
                    "listen": self._listen(),
                    "platform": {
                        name: f"http://{address}" for name, address in platform.items()
                    },
                    **self._settings,
                }
            )
        )
        await self._start_process(settings_path)
        self._stack.push_async_callback(self._kill)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self.send_lookup() != 200:  # noqa: ASYNC110 - a process is polled
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _serve(self, app):
        return await self._stack.enter_async_context(serving(app, LOOPBACK))

    def _listen(self):
        return {name: f"{ip}:{port}" for name, (ip, port) in self.addresses.items()}

    async def _start_process(self, settings_path):
        with (self._folder / "daemon.log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "snipetrestle",
                "serve",
                "--settings",
                str(settings_path),
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdout=log,
                stderr=log,
            )
        if self._max_fds is not None:
            limits = (self._max_fds, self._max_fds)
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, limits)

    async def _kill(self):
        if self.is_running:
            self._process.kill()
        await self._process.wait()

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process.returncode is None

    def head(self, *lines, path=LOOKUP_PATH, method="POST", key=API_KEY):
        """Returns a request head of a customer, with further lines."""
        start = (
            f"{method} {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
        )
        return (start + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()

    async def send_lookup(self, body=b"{}", key=API_KEY):
        """Returns the status of one ordinary request, 0 without an answer."""
        head = self.head(f"Content-Length: {len(body)}", "Connection: close", key=key)
        try:
            reader, writer = await asyncio.open_connection(
                *self.addresses["callers"], ssl=self._tls
            )
        except OSError:
            return 0
        try:
            writer.write(head + body)
            answer = await reader.read()
        except OSError:
            return 0
        finally:
            writer.close()
        return int(answer[9:12] or 0)


async def _answer(scope, receive, send):
    """Answers each call of the service; one with HELD_BODY at length.

    The answer to LARGE_BODY is large, and its last byte comes as late.
    """
    if scope["type"] == "lifespan":
        await run_lifespan(receive, send)
        return
    body = await read_body(receive)
    if body == LARGE_BODY:
        await _send_large_answer(send)
        return
    if body == HELD_BODY:
        await asyncio.sleep(HOLD_S)
    await send_response(send, 200, b"{}")


async def _send_large_answer(send):
    length = (b"content-length", b"%d" % LARGE_ANSWER_BYTES)
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    content = b"x" * (LARGE_ANSWER_BYTES - 1)
    await send({"type": "http.response.body", "body": content, "more_body": True})
    await asyncio.sleep(HOLD_S)
    await send({"type": "http.response.body", "body": b"x"})


def _document(service_address):
    """Returns a published configuration with two customers and one service."""
    return {
        "models": [],
        "adapters": [],
        "customers": [
            {
                "name": name,
                "api_key_sha256": [hashlib.sha256(key.encode()).hexdigest()],
                "contract": contract(),
                "adapters": [],
            }
            for name, key in (("counter", API_KEY), ("workshop", OTHER_API_KEY))
        ],
        "backend_servers": [
            {
                "name": "register-1",
                "address": service_address,
                "failure_domain": "palermo",
                "region": REGION,
                "service": SERVICE,
            }
        ],
        "services": [{"name": SERVICE}],
        "daemons": [{"name": NAME, "failure_domain": "palermo"}],
        "weight_stores": [],
    }
