"""Tests of the end of the real program."""

import asyncio
import pathlib
import signal
import tempfile

import anyio
import testtools

from snipetrestle_standins.gateway_fleet import configuration, route
from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port
from tests.soak.hosts import HostProcess

TEST_TIMEOUT_S = 30.0
SIGNAL_INTERVAL_S = 0.001


async def _exit_code_of_stop(folder, number):
    """Stops a process, sends it a signal again and again; returns its exit code."""
    store = PlatformStore()
    await store.start()
    store.put("op/config", configuration(1, [route("a", "idempotent", "b")]))
    ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
    host = HostProcess(0, folder, ports, ["127.0.0.2"], ("127.0.0.1", store.port))
    await host.start()
    try:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await host.wait_ready()
            host.signal_process(signal.SIGTERM)
            while host.is_running:
                host.signal_process(number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
        return host.exit_code
    finally:
        await host.kill()
        await store.stop()


class EndTest(testtools.TestCase):
    def test_signals_do_not_end_a_stopping_process(self):
        """Between the end of the drain and of the process, they ended it at once."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            with tempfile.TemporaryDirectory() as folder:
                code = anyio.run(_exit_code_of_stop, pathlib.Path(folder), number)
            self.expectThat(code, testtools.matchers.Equals(0), number.name)
