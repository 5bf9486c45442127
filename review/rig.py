"""What the scripts of the review share: gateways as processes, and a record."""

import asyncio
import os
import pathlib
import signal
import sys
import time

from snipetrestle_standins.platform_store import PlatformStore
from snipetrestle_standins.ports import free_port

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOSTNAME = "desk.example"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 5.0
SETTINGS = """\
node={name}
role=gateway
machine_class=front
serves=front,control
ip={ip}
zone={zone}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port_range={peers},{peers}
seeds={seeds}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4200
heartbeat_ms=1200
provider.address={store}
bounds.lease_ms=3000
bounds.drain_ms=2000
bounds.config_apply_ms=2000
bounds.grace_s=8
bounds.retry_budget_ratio=0.2
bounds.budget_slack=52
bounds.budget_window_s=10
"""


class Record:
    """Writes what happened to a file, with the time since the start."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._path.write_text("")
        self._started_at = time.monotonic()

    def note(self, text):
        at_s = time.monotonic() - self._started_at
        with self._path.open("a") as file:
            file.write(f"{at_s:8.3f} s  {text}\n")


class Gateway:
    """One gateway process, with the run command of the deploy file."""

    def __init__(self, number, ports, seeds, store, folder):
        self.name = f"front-{number}"
        self.ip = f"127.0.0.{number + 2}"
        self.callers_address = (self.ip, ports["front"])
        self._ready_address = (self.ip, ports["ready"])
        self._settings_path = folder / f"{self.name}.conf"
        self._log_path = folder / f"{self.name}.log"
        self.process = None
        self._settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=f"zone-{number % 3}",
                seeds=",".join(f"{ip}:{ports['control']}" for ip in seeds),
                store=f"127.0.0.1:{store.port}",
                **ports,
            )
        )

    async def start(self):
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SNIPETRESTLE_CONFIG": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "snipetrestle.platform",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self):
        while not await self._is_ready():  # noqa: ASYNC110 - a process is polled
            await asyncio.sleep(0.1)

    async def _is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._ready_address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def stop(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.kill()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await self.process.wait()


class Rig:
    """A store, replicas and gateways on loopback. Use as an async context manager."""

    def __init__(self, folder, replicas, configuration, gateways=1):
        self.store = PlatformStore()
        self.replicas = replicas
        self.gateways = []
        self._configuration = configuration
        self._count = gateways
        self._folder = pathlib.Path(folder)

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        await self.store.start()
        self.store.put("op/config", self._configuration)
        for replica in self.replicas:
            await replica.start()
            self.publish(replica)
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        seeds = [f"127.0.0.{number + 2}" for number in range(min(3, self._count))]
        for number in range(self._count):
            gateway = Gateway(number, ports, seeds, self.store, self._folder)
            self.gateways.append(gateway)
            await gateway.start()
        async with asyncio.timeout(START_TIMEOUT_S):
            for gateway in self.gateways:
                await gateway.wait_ready()

    async def __aexit__(self, *details):
        for gateway in self.gateways:
            await gateway.stop()
        for server in (*self.replicas, self.store):
            if server.port is not None:
                await server.stop()

    def publish(self, replica, **fields):
        replica.report_count += 1
        self.store.put(f"servers/{replica.id}", replica.entry(**fields))


async def _run_until_signal(running):
    """Awaits a case; SIGTERM and SIGINT end it, with all processes that it started."""
    task = asyncio.ensure_future(running)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise RuntimeError("ended by a signal") from None


def run_case(case, folder, record_path):
    """Runs ``case(record, folder, trouble)``; exits with 0, 1 or 2 as the issue says.

    ``case`` returns a list of texts, one for each time the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    record.note(f"disruption {'on' if trouble else 'off'}")
    try:
        broken = asyncio.run(_run_until_signal(case(record, folder, trouble)))
    except Exception as error:
        record.note(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record.note(f"BROKEN {text}")
    record.note(f"broken {len(broken)} times")
    print(f"broken {len(broken)} times")
    sys.exit(1 if broken else 0)
