"""Daemons and stand-ins in one process, connected by sockets on loopback."""

import contextlib
import json
import random

import anyio

from snipetrestle.app import Application
from snipetrestle.callers.listener import serving
from snipetrestle.publication.sources import Host
from snipetrestle.settings import ListenSettings, PlatformSettings, Settings
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    configuration_app,
)
from snipetrestle_standins.engine_http import engine_app
from snipetrestle_standins.host_list import HostListService, host_list_app
from snipetrestle_standins.ports import free_port

LOOPBACK = "127.0.0.1:0"


def free_address():
    """Returns a loopback address with a port that is free now."""
    return f"127.0.0.1:{free_port()}"


class LocalFleet:
    """Daemons, engines, services and platform. Use as an async context manager.

    ``daemons`` is a list of DaemonSettings. ``engines_by_name`` has StandInEngines and
    ``service_apps_by_name`` ASGI applications, both by backend server name.
    ``make_document(addresses_by_name)`` returns the published configuration as plain
    data.
    """

    def __init__(
        self, daemons, make_document, engines_by_name, service_apps_by_name=(), seed=1
    ):
        self.engines_by_name = engines_by_name
        self.addresses_by_name = {}
        self.apps = []
        self.configuration = ConfigurationService()
        self.hosts = HostListService()
        self.platform = None
        self._daemons = daemons
        self._make_document = make_document
        self._service_apps_by_name = dict(service_apps_by_name)
        self._random = random.Random(seed)
        self._exit_stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._exit_stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._exit_stack.aclose()
            raise
        return self

    async def __aexit__(self, *details):
        return await self._exit_stack.__aexit__(*details)

    async def _start(self):
        exit_stack = self._exit_stack
        task_group = await exit_stack.enter_async_context(anyio.create_task_group())
        exit_stack.callback(task_group.cancel_scope.cancel)
        apps_by_name = dict(self._service_apps_by_name)
        for name, engine in self.engines_by_name.items():
            task_group.start_soon(engine.run)
            apps_by_name[name] = engine_app(engine)
        for name, app in apps_by_name.items():
            self.addresses_by_name[name] = await self._serve(app)
        configuration = await self._serve(configuration_app(self.configuration))
        hosts = await self._serve(host_list_app(self.hosts))
        self.platform = PlatformSettings(f"http://{configuration}", f"http://{hosts}")
        # Ends the open watches on exit, so that the listeners close at once.
        exit_stack.callback(self.configuration.set_down, True)
        self.configuration.publish(
            json.dumps(self._make_document(self.addresses_by_name))
        )
        all_settings = [self._settings_of(item) for item in self._daemons]
        self.hosts.put(*(host_of(settings) for settings in all_settings))
        for settings in all_settings:
            app = Application.from_settings(
                settings, random.Random(self._random.getrandbits(64)), first_start=True
            )
            await app.start()
            self.apps.append(app)
            exit_stack.push_async_callback(app.stop)
        for app in self.apps:
            await app.wait_ready()

    async def _serve(self, app):
        return await self._exit_stack.enter_async_context(serving(app, LOOPBACK))

    def _settings_of(self, daemon):
        return Settings(
            daemon=daemon,
            listen=ListenSettings(LOOPBACK, free_address(), LOOPBACK),
            platform=self.platform,
        )


def host_of(settings):
    """Returns the host list's entry of a daemon."""
    daemon = settings.daemon
    return Host(
        daemon.name,
        settings.listen.peers,
        daemon.failure_domain,
        daemon.region,
        daemon.size,
    )
