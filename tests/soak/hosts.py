"""Gateways as processes of their own, with settings files as the platform writes them."""

import asyncio
import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
END_TIMEOUT_S = 12.0
GRACE_S = 8.0
READY_CHECK_S = 0.1
SETTINGS = """\
node={name}
zone=zone-1
ip={ip}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port_range={peers},{peers}
seeds={seeds}
limits.cpu_share=1.0
limits.cores=1
provider.address={store}
bounds.lease_ms=3000
bounds.drain_ms=2000
bounds.config_apply_ms=2000
bounds.grace_s={grace}
bounds.retry_budget_ratio=0.2
bounds.budget_slack=60
bounds.budget_window_s=10
"""


class HostProcess:
    """One gateway process. ``stopping`` is True after this soak told it to end."""

    def __init__(self, number, folder, ports, seeds, store):
        self.name = f"entry-{number}"
        self.ip = f"127.0.0.{number + 2}"
        self.front = (self.ip, ports["front"])
        self._ready = (self.ip, ports["ready"])
        self._path = folder / f"{self.name}.conf"
        self._log = folder / f"{self.name}.log"
        self._process = None
        self.stopping = False
        self.paused = False
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                seeds=",".join(f"{ip}:{ports['control']}" for ip in seeds),
                store=f"{store[0]}:{store[1]}",
                grace=GRACE_S,
                **ports,
            )
        )

    async def start(self):
        self.stopping = False
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "SNIPETRESTLE_CONFIG": str(self._path),
        }
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "snipetrestle.platform",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def runs(self):
        return self._process is not None and self._process.returncode is None

    @property
    def ended_by_itself(self):
        return self._process is not None and not self.runs and not self.stopping

    async def is_ready(self):
        """Asks the process as the platform's balancer does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._ready)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self):
        while not await self.is_ready():  # noqa: ASYNC110 - a process is polled
            await asyncio.sleep(READY_CHECK_S)

    def signal(self, number):
        if self.runs:
            self._process.send_signal(number)

    def pause(self):
        self.paused = True
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.signal(signal.SIGCONT)

    async def kill(self):
        self.stopping = True
        self.resume()
        self.signal(signal.SIGKILL)
        await self._process.wait()

    async def stop(self):
        """Ends the process as planned, and kills it after the grace period."""
        self.stopping = True
        self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
