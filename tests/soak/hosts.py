"""Gateway processes, with settings files as the platform writes them."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STOP_TIMEOUT_S = 12.0
SHUTDOWN_GRACE_S = 8.0
READY_POLL_INTERVAL_S = 0.1
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
    """One gateway process on its own loopback address.

    ``stopping`` is True after the soak test has killed or stopped it.
    ``further_settings`` are lines that are added to its settings file.
    """

    def __init__(self, number, folder, ports, seeds, store, further_settings=""):
        self.name = f"entry-{number}"
        self.ip = f"127.0.0.{number + 2}"
        self.callers_address = (self.ip, ports["front"])
        self._readiness_address = (self.ip, ports["ready"])
        self._settings_path = folder / f"{self.name}.conf"
        self._log_path = folder / f"{self.name}.log"
        self._process = None
        self.stopping = False
        self.paused = False
        self._settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                seeds=",".join(f"{ip}:{ports['control']}" for ip in seeds),
                store=f"{store[0]}:{store[1]}",
                grace=SHUTDOWN_GRACE_S,
                **ports,
            )
            + further_settings
        )

    async def start(self):
        """Starts the process; its output is appended to its log file."""
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "SNIPETRESTLE_CONFIG": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "snipetrestle.platform",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        # Not before: a fault that ends running hosts would end the process before this
        # one, and start a third one beside it.
        self.stopping = False

    @property
    def pid(self):
        return self._process.pid

    @property
    def is_running(self):
        return self._process is not None and self._process.returncode is None

    @property
    def exited_unexpectedly(self):
        return self._process is not None and not self.is_running and not self.stopping

    @property
    def exit_code(self):
        """The exit code, or the negative number of the signal that ended the process."""
        return None if self._process is None else self._process.returncode

    def read_log(self):
        """Returns the lines that its processes have written."""
        return self._log_path.read_text(errors="replace").splitlines()

    async def is_ready(self):
        """Sends the readiness probe of the platform's load balancer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self._readiness_address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self):
        while not await self.is_ready():  # noqa: ASYNC110 - a process is polled
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def signal_process(self, number):
        # Process.send_signal may take the exit code away from asyncio, which reports 255.
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    @property
    def survives_sighup(self):
        """Whether the process has got far enough to ignore or handle SIGHUP.

        Before its first line has run, SIGHUP ends any process.
        """
        if not self.is_running:
            return False
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        masks = [
            int(line.split()[1], 16)
            for line in status.splitlines()
            if line.startswith(("SigIgn:", "SigCgt:"))
        ]
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def pause(self):
        self.paused = True
        self.signal_process(signal.SIGSTOP)

    def resume(self):
        self.paused = False
        self.signal_process(signal.SIGCONT)

    async def kill(self):
        if self.exited_unexpectedly:
            with self._log_path.open("a") as log:
                log.write(f"the process had ended with code {self.exit_code}\n")
        self.stopping = True
        self.resume()
        self.signal_process(signal.SIGKILL)
        await self._process.wait()

    async def stop(self):
        """Asks the process to shut down; kills it after STOP_TIMEOUT_S."""
        self.stopping = True
        self.resume()
        self.signal_process(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
