"""Price of the layer over talking to the stand-in engine directly.

Engines, daemons and callers run in processes of their own. All comparisons are of one
run: probes go to a fast engine directly and through the layer in turn, while the load
goes through the same daemon to slower engines. The last line is one JSON object.
"""

import argparse
import contextlib
import hashlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from benchmarks.path_client import MAX_FIRST_TOKEN_US, Load, LoadResult
from snipetrestle.callers.listener import serving
from snipetrestle.engines.http_client import HttpEngineClient
from snipetrestle.engines.protocol import LoadOrder
from snipetrestle.hashing import rendezvous_first
from snipetrestle.publication.sources import Host
from snipetrestle_standins.configuration_service import (
    ConfigurationService,
    configuration_app,
)
from snipetrestle_standins.host_list import HostListService, host_list_app
from snipetrestle_standins.local_fleet import LOOPBACK, free_address

KEY = "benchmark-key"
REGION = "loopback"
ENTRY, OWNER = "entry", "owner"
DAEMONS = ((ENTRY, "one daemon"), (OWNER, "two daemons"))
LOAD_ENGINES = 4
ADAPTERS = 16
# A step of the loaded engines: 50 tokens per second and stream.
LOAD_STEP_S = 0.02
# A step of the probes' engine; a short one keeps the noise of its steps small.
PROBE_STEP_S = 0.002
MAX_BATCH = 160
TARGET_REQUESTS = 55.0
TARGET_TOKENS = 17_300.0
PROBE_RATE = 25.0
PROBE_TOKENS = 4
LOAD_CLIENTS = 2
START_TIMEOUT_S = 30.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Phase(msgspec.Struct):
    """One phase's measurements. The rates are those of complete answers.

    ``core`` is the part of a core that a daemon used, and ``starved`` the part of the
    time in which it was ready to run and the machine gave it no core. Figures of a run
    with much of the latter say more of the machine than of the daemon.
    """

    name: str
    requests_per_s: float
    tokens_per_s: float
    failures: int
    broken: int
    wrong: int
    core_by_daemon: dict[str, float]
    starved_by_daemon: dict[str, float]
    direct_p50_ms: float
    direct_p95_ms: float
    layer_p50_ms: float
    layer_p95_ms: float

    @property
    def added_p50_ms(self):
        return self.layer_p50_ms - self.direct_p50_ms

    @property
    def added_p95_ms(self):
        return self.layer_p95_ms - self.direct_p95_ms


class Bench:
    """The processes of one run. Use as an async context manager."""

    def __init__(self, folder, profile=None):
        self.folder = pathlib.Path(folder)
        self._profile = profile
        self.engines = {}
        self.callers_address = None
        self.processes_by_daemon = {}
        self._stack = contextlib.AsyncExitStack()
        self._hosts = HostListService()
        self._configuration = ConfigurationService()
        self._platform = None

    async def __aenter__(self):
        stack = await self._stack.__aenter__()
        serve = stack.enter_async_context
        configuration = await serve(
            serving(configuration_app(self._configuration), LOOPBACK)
        )
        hosts = await serve(serving(host_list_app(self._hosts), LOOPBACK))
        # Ends the watches that are held, so that the listeners close at once.
        stack.callback(self._configuration.set_down, True)
        self._platform = {
            "configuration_service": f"http://{configuration}",
            "host_list": f"http://{hosts}",
        }
        for number, name in enumerate(owned_names(LOAD_ENGINES + 1)):
            step_s = LOAD_STEP_S if number else PROBE_STEP_S
            address = free_address()
            self.engines[name] = address
            arguments = (name, address, str(step_s), str(MAX_BATCH))
            await self._start("benchmarks.path_engine", *arguments, wait=True)
        # Direct probes use a copy of their own beside the owner's.
        client = HttpEngineClient(self.engines[self.probe_engine])
        adapter = f"adapter-{ADAPTERS}"
        await client.load(LoadOrder(f"{adapter}@1", adapter, "1", 0))
        await client.aclose()
        self._configuration.publish(msgspec.json.encode(self._document()))
        return self

    async def __aexit__(self, *details):
        return await self._stack.__aexit__(*details)

    @property
    def probe_engine(self):
        return next(iter(self.engines))

    async def _start(self, module, *arguments, wait=False, profile=False):
        command = [sys.executable]
        if profile and self._profile:
            command += ["-m", "cProfile", "-o", self._profile]
        process = await anyio.open_process(
            [*command, "-m", module, *arguments],
            stdout=subprocess.PIPE if wait else None,
            stderr=None,
        )
        self._stack.push_async_callback(stop_process, process)
        if wait:
            with anyio.fail_after(START_TIMEOUT_S):
                await process.stdout.receive()
        return process

    async def start_daemon(self, name):
        listen = {
            "callers": free_address(),
            "peers": free_address(),
            "operators": free_address(),
        }
        settings = {
            "daemon": {"name": name, "failure_domain": name, "region": REGION},
            "listen": listen,
            "platform": self._platform,
            "logs": {"format": "text", "level": "WARNING"},
        }
        path = self.folder / f"{name}.yaml"
        path.write_bytes(msgspec.json.encode(settings))
        self._hosts.put(Host(name, listen["peers"], name, REGION))
        process = await self._start(
            "snipetrestle",
            "serve",
            "--settings",
            str(path),
            profile=not self.processes_by_daemon,
        )
        self.processes_by_daemon[name] = process
        if self.callers_address is None:
            self.callers_address = listen["callers"]
        await wait_ready(listen["callers"])

    def _document(self):
        servers = [
            {
                "name": name,
                "address": address,
                "failure_domain": ENTRY,
                "region": REGION,
                "model": "probe" if name == self.probe_engine else "load",
                "adapter_slots": 64,
                "max_batch": MAX_BATCH,
                "weight_store": "store",
            }
            for name, address in self.engines.items()
        ]
        # An adapter belongs to one model, so each model has its own names.
        return {
            "models": [{"name": "load"}, {"name": "probe"}],
            "adapters": [
                {"name": f"adapter-{number}", "model": model, "versions": ["1"]}
                for model, numbers in (
                    ("load", range(ADAPTERS)),
                    ("probe", range(ADAPTERS, ADAPTERS + 1)),
                )
                for number in numbers
            ],
            "customers": [
                {
                    "name": "bench",
                    "api_key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()],
                    "contract": {
                        "requests_per_second": 100_000,
                        "concurrency": 100_000,
                        "tokens_per_minute": 1_000_000_000,
                        "waiting_first_token_s": 1.0,
                    },
                }
            ],
            "backend_servers": servers,
            "daemons": [
                {"name": name, "failure_domain": name} for name in (ENTRY, OWNER)
            ],
            "weight_stores": [
                {
                    "name": "store",
                    "loads_per_second": 1000,
                    "parallel_loads": 64,
                    "full_speed_in_flight": 64,
                }
            ],
        }

    async def run_phase(self, name, requests_per_s, tokens_per_request, seconds, warm):
        """Runs probes and, with ``requests_per_s``, the load; returns a Phase."""
        probes, loads = self._probes(seconds, warm), []
        if requests_per_s:
            loads = [
                Load(
                    name=f"load-{number}",
                    addresses=(self.callers_address,),
                    direct=False,
                    model="load",
                    adapters=ADAPTERS,
                    first_adapter=0,
                    rate=requests_per_s / LOAD_CLIENTS,
                    seconds=seconds,
                    warm_up_s=warm,
                    max_tokens=tokens_per_request,
                    key=KEY,
                )
                for number in range(LOAD_CLIENTS)
            ]
        results, usage = [], {}
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_client, probes, results, 0)
            for number, load in enumerate(loads, 1):
                group.start_soon(self._run_client, [load], results, number)
            await anyio.sleep(warm)
            before = self._processor_s()
            await anyio.sleep(seconds - warm)
            after = self._processor_s()
            usage = {
                daemon: [
                    (end - start) / (seconds - warm)
                    for start, end in zip(before[daemon], after[daemon], strict=True)
                ]
                for daemon in after
            }
        loaded = [item for item in results if item.name.startswith("load")]
        answers = sum(item.window_answers for item in loaded) / (seconds - warm)
        return make_phase(name, results, usage, answers, answers * tokens_per_request)

    def _probes(self, seconds, warm):
        common = {
            "model": "probe",
            "adapters": 1,
            "first_adapter": ADAPTERS,
            "rate": PROBE_RATE,
            "seconds": seconds,
            "warm_up_s": warm,
            "max_tokens": PROBE_TOKENS,
            "key": KEY,
        }
        engine = self.engines[self.probe_engine]
        return [
            Load(name="direct", addresses=(engine,), direct=True, **common),
            Load(
                name="layer", addresses=(self.callers_address,), direct=False, **common
            ),
        ]

    async def _run_client(self, loads, results, seed):
        arguments = (msgspec.json.encode(loads).decode(), str(seed))
        command = [sys.executable, "-m", "benchmarks.path_client", *arguments]
        process = await anyio.run_process(command, stderr=None)
        results.extend(msgspec.json.decode(process.stdout, type=list[LoadResult]))

    def _processor_s(self):
        return {
            name: (processor_s(process.pid), starved_s(process.pid))
            for name, process in self.processes_by_daemon.items()
        }


def owned_names(count):
    """Returns engine names that the second daemon owns as soon as it runs."""
    sizes = {ENTRY: 1.0, OWNER: 1.0}
    names = (f"engine-{number}" for number in range(1000))
    owned = [name for name in names if rendezvous_first(name, sizes) == OWNER]
    return owned[:count]


def processor_s(pid):
    """Returns the processor seconds that a process has used, in user and system."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def starved_s(pid):
    """Returns the seconds for which a process waited for a core."""
    waits_ns = [
        int(path.read_text().split()[1])
        for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    ]
    return sum(waits_ns) / 1e9


async def stop_process(process):
    if process.returncode is None:
        process.send_signal(signal.SIGTERM)
    with anyio.move_on_after(5.0):
        await process.wait()
    if process.returncode is None:
        process.kill()
        await process.wait()


async def wait_ready(address):
    """Returns once a daemon takes requests."""
    host, _, port = address.partition(":")
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                    if b" 200 " in await stream.receive():
                        return
            await anyio.sleep(0.1)


def make_phase(name, results, usage, requests_per_s, tokens_per_s):
    by_name = {}
    for result in results:
        histogram = HdrHistogram(1, MAX_FIRST_TOKEN_US, 3)
        histogram.decode_and_add(result.histogram.encode())
        by_name[result.name] = histogram

    def quantile(key, percentile):
        return by_name[key].get_value_at_percentile(percentile) / 1000.0

    return Phase(
        name=name,
        requests_per_s=requests_per_s,
        tokens_per_s=tokens_per_s,
        failures=sum(result.failures for result in results),
        broken=sum(result.broken for result in results),
        wrong=sum(result.wrong for result in results),
        core_by_daemon={name: part[0] for name, part in usage.items()},
        starved_by_daemon={name: part[1] for name, part in usage.items()},
        direct_p50_ms=quantile("direct", 50),
        direct_p95_ms=quantile("direct", 95),
        layer_p50_ms=quantile("layer", 50),
        layer_p95_ms=quantile("layer", 95),
    )


def print_phase(phase):
    cores = ", ".join(
        f"{name} {part:.1%} (starved {phase.starved_by_daemon[name]:.1%})"
        for name, part in phase.core_by_daemon.items()
    )
    print(
        f"{phase.name}: {phase.requests_per_s:.0f} requests/s, "
        f"{phase.tokens_per_s:.0f} tokens/s; core {cores}; first token direct "
        f"{phase.direct_p50_ms:.2f}/{phase.direct_p95_ms:.2f} ms, layer "
        f"{phase.layer_p50_ms:.2f}/{phase.layer_p95_ms:.2f} ms, added "
        f"{phase.added_p50_ms:.2f}/{phase.added_p95_ms:.2f} ms (p50/p95); "
        f"{phase.failures} failures ({phase.broken} broken off), {phase.wrong} wrong",
        flush=True,
    )


def costs(few, many):
    """Returns processor microseconds per request and per token, from two loads."""
    core_few = sum(few.core_by_daemon.values())
    core_many = sum(many.core_by_daemon.values())
    tokens = many.tokens_per_s - few.tokens_per_s
    per_token = (core_many - core_few) / tokens * 1e6
    rest = core_few - few.tokens_per_s * per_token / 1e6
    return rest / few.requests_per_s * 1e6, per_token


async def run(arguments):
    tokens = round(TARGET_TOKENS / TARGET_REQUESTS)
    stream_s = tokens * LOAD_STEP_S
    phases = []
    with tempfile.TemporaryDirectory() as folder:
        async with Bench(folder, arguments.profile) as bench:
            for daemon, suffix in DAEMONS[: arguments.daemons]:
                await bench.start_daemon(daemon)
                # The replicas change hands and the adapters are loaded.
                await bench.run_phase("warm-up", 20.0, 4, 8.0, 6.0)
                for name, rate, count, warm in (
                    ("idle", 0.0, 0, 1.0),
                    ("short answers", TARGET_REQUESTS, 8, 2.0),
                    ("target", TARGET_REQUESTS, tokens, stream_s + 2.0),
                ):
                    if arguments.only and name != arguments.only:
                        continue
                    phase = await bench.run_phase(
                        f"{name}, {suffix}", rate, count, warm + arguments.seconds, warm
                    )
                    phases.append(phase)
                    print_phase(phase)
    if not arguments.only:
        print(msgspec.json.encode(summary(phases)).decode())
    return 1 if any(phase.wrong for phase in phases) else 0


def summary(phases):
    result = {}
    for key, (idle, few, many) in (("one", phases[:3]), ("two", phases[3:])):
        per_request, per_token = costs(few, many)
        entry = many.core_by_daemon[ENTRY]
        result[key] = {
            "added_first_token_idle_ms": [idle.added_p50_ms, idle.added_p95_ms],
            "added_first_token_target_ms": [many.added_p50_ms, many.added_p95_ms],
            "core_at_target": many.core_by_daemon,
            "starved_at_target": many.starved_by_daemon,
            "us_per_request": round(per_request, 1),
            "us_per_token": round(per_token, 2),
            "requests_per_s": round(many.requests_per_s, 1),
            "tokens_per_s": round(many.tokens_per_s),
            "requests_per_s_at_60_percent": round(0.6 / entry * many.requests_per_s, 1),
            "tokens_per_s_at_60_percent": round(0.6 / entry * many.tokens_per_s),
            "failures": sum(phase.failures for phase in (idle, few, many)),
        }
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0, help="of each phase")
    parser.add_argument("--only", help="name of the one phase to run, for trials")
    parser.add_argument("--profile", help="file for the profile of the entry daemon")
    parser.add_argument("--daemons", type=int, default=2, choices=(1, 2))
    sys.exit(anyio.run(run, parser.parse_args()))


if __name__ == "__main__":
    main()
