"""Measures what the layer costs compared with calling a stand-in engine directly.

Engines, daemons and callers run in separate processes. All comparisons are within one
run: probes go to a fast engine directly and through the layer, while the load goes
through the same daemon to slower engines. The last line is one JSON object.
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

from benchmarks.path_client import MAX_FIRST_TOKEN_US, TrafficResult, TrafficSpec
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
# Time of a decoding step of the loaded engines: 50 tokens per second and stream.
LOAD_ENGINE_STEP_S = 0.02
# Time of a decoding step of the probes' engine, short so that the steps add little
# variation to the measured times.
PROBE_ENGINE_STEP_S = 0.002
MAX_BATCH = 160
TARGET_REQUESTS_PER_S = 55.0
TARGET_TOKENS_PER_S = 17_300.0
PROBES_PER_S = 25.0
PROBE_TOKENS = 4
LOAD_CLIENT_PROCESSES = 2
START_TIMEOUT_S = 30.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Phase(msgspec.Struct):
    """Measurements of one phase. The rates are those of complete answers.

    ``failures`` include the ``broken`` answers; ``wrong`` ones have another text.
    ``cpu_share`` is the share of a core that a daemon used, and ``cpu_wait_share`` the
    share of the time in which it was ready to run and the machine gave it no core.
    Figures of a run with much of the latter say more about the machine than the daemon.
    """

    name: str
    requests_per_s: float
    tokens_per_s: float
    failures: int
    broken: int
    wrong: int
    cpu_share_by_daemon: dict[str, float]
    cpu_wait_share_by_daemon: dict[str, float]
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


class PathBenchmark:
    """Runs the processes of one benchmark. Use as an async context manager.

    ``profile`` names the file for a cProfile of the first daemon, if there is one.
    """

    def __init__(self, folder, profile=None):
        self.folder = pathlib.Path(folder)
        self._profile_path = profile
        self.engines = {}
        self.callers_address = None
        self.processes_by_daemon = {}
        self._stack = contextlib.AsyncExitStack()
        self._hosts = HostListService()
        self._configuration = ConfigurationService()
        self._platform_settings = None

    async def __aenter__(self):
        stack = await self._stack.__aenter__()
        enter = stack.enter_async_context
        configuration = await enter(
            serving(configuration_app(self._configuration), LOOPBACK)
        )
        hosts = await enter(serving(host_list_app(self._hosts), LOOPBACK))
        # Ends pending watch requests at exit, so that the listeners close at once.
        stack.callback(self._configuration.set_down, True)
        self._platform_settings = {
            "configuration_service": f"http://{configuration}",
            "host_list": f"http://{hosts}",
        }
        for number, name in enumerate(engine_names_of_owner(LOAD_ENGINES + 1)):
            step_s = LOAD_ENGINE_STEP_S if number else PROBE_ENGINE_STEP_S
            address = free_address()
            self.engines[name] = address
            arguments = (name, address, str(step_s), str(MAX_BATCH))
            await self._start("benchmarks.path_engine", *arguments, wait=True)
        # Direct probes use their own copy of the adapter, beside the owner's.
        client = HttpEngineClient(self.engines[self.probe_engine])
        adapter = f"adapter-{ADAPTERS}"
        await client.load(LoadOrder(f"{adapter}@1", adapter, "1", 0))
        await client.aclose()
        self._configuration.publish(msgspec.json.encode(self._configuration_data()))
        return self

    async def __aexit__(self, *details):
        return await self._stack.__aexit__(*details)

    @property
    def probe_engine(self):
        return next(iter(self.engines))

    async def _start(self, module, *arguments, wait=False, profile=False):
        command = [sys.executable]
        if profile and self._profile_path:
            command += ["-m", "cProfile", "-o", self._profile_path]
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
        """Starts a daemon and waits until it is ready; the first takes the requests."""
        listen = {
            "callers": free_address(),
            "peers": free_address(),
            "operators": free_address(),
        }
        settings = {
            "daemon": {"name": name, "failure_domain": name, "region": REGION},
            "listen": listen,
            "platform": self._platform_settings,
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

    def _configuration_data(self):
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
        # An adapter belongs to one model, so each model has adapters of its own.
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

    async def run_phase(
        self, name, requests_per_s, tokens_per_request, seconds, warm_up_seconds
    ):
        """Runs probes and, with ``requests_per_s``, the load; returns a Phase.

        The phase takes ``seconds``, of which the first ``warm_up_seconds`` are not
        measured.
        """
        probe_specs, load_specs = self._probe_specs(seconds, warm_up_seconds), []
        if requests_per_s:
            load_specs = [
                TrafficSpec(
                    name=f"load-{number}",
                    addresses=(self.callers_address,),
                    direct=False,
                    model="load",
                    adapters=ADAPTERS,
                    first_adapter=0,
                    rate=requests_per_s / LOAD_CLIENT_PROCESSES,
                    seconds=seconds,
                    warm_up_s=warm_up_seconds,
                    max_tokens=tokens_per_request,
                    key=KEY,
                )
                for number in range(LOAD_CLIENT_PROCESSES)
            ]
        results, usage_by_daemon = [], {}
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_client, probe_specs, results, 0)
            for number, load_spec in enumerate(load_specs, 1):
                group.start_soon(self._run_client, [load_spec], results, number)
            await anyio.sleep(warm_up_seconds)
            before = self._cpu_times_by_daemon()
            await anyio.sleep(seconds - warm_up_seconds)
            after = self._cpu_times_by_daemon()
            usage_by_daemon = {
                daemon: [
                    (end - start) / (seconds - warm_up_seconds)
                    for start, end in zip(before[daemon], after[daemon], strict=True)
                ]
                for daemon in after
            }
        load_results = [item for item in results if item.name.startswith("load")]
        answers_per_s = sum(item.window_answers for item in load_results) / (
            seconds - warm_up_seconds
        )
        return make_phase(
            name,
            results,
            usage_by_daemon,
            answers_per_s,
            answers_per_s * tokens_per_request,
        )

    def _probe_specs(self, seconds, warm_up_s):
        options = {
            "model": "probe",
            "adapters": 1,
            "first_adapter": ADAPTERS,
            "rate": PROBES_PER_S,
            "seconds": seconds,
            "warm_up_s": warm_up_s,
            "max_tokens": PROBE_TOKENS,
            "key": KEY,
        }
        engine = self.engines[self.probe_engine]
        return [
            TrafficSpec(name="direct", addresses=(engine,), direct=True, **options),
            TrafficSpec(
                name="layer",
                addresses=(self.callers_address,),
                direct=False,
                **options,
            ),
        ]

    async def _run_client(self, specs, results, seed):
        arguments = (msgspec.json.encode(specs).decode(), str(seed))
        command = [sys.executable, "-m", "benchmarks.path_client", *arguments]
        process = await anyio.run_process(command, stderr=None)
        results.extend(msgspec.json.decode(process.stdout, type=list[TrafficResult]))

    def _cpu_times_by_daemon(self):
        return {
            name: (cpu_time_s(process.pid), cpu_wait_s(process.pid))
            for name, process in self.processes_by_daemon.items()
        }


def engine_names_of_owner(count):
    """Returns names of engines that the second daemon owns once it runs."""
    daemon_sizes = {ENTRY: 1.0, OWNER: 1.0}
    names = (f"engine-{number}" for number in range(1000))
    owned = [name for name in names if rendezvous_first(name, daemon_sizes) == OWNER]
    return owned[:count]


def cpu_time_s(pid):
    """Returns the processor time that a process has used, in user and system mode."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def cpu_wait_s(pid):
    """Returns the time for which threads of a process were ready but had no core."""
    waits_ns = [
        int(path.read_text().split()[1])
        for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    ]
    return sum(waits_ns) / 1e9


async def stop_process(process):
    """Stops a process with SIGTERM, or with SIGKILL if it runs 5 s later."""
    if process.returncode is None:
        process.send_signal(signal.SIGTERM)
    with anyio.move_on_after(5.0):
        await process.wait()
    if process.returncode is None:
        process.kill()
        await process.wait()


async def wait_ready(address):
    """Waits until a daemon is ready for requests. Raises TimeoutError."""
    host, _, port = address.partition(":")
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                    if b" 200 " in await stream.receive():
                        return
            await anyio.sleep(0.1)


def make_phase(name, results, usage_by_daemon, requests_per_s, tokens_per_s):
    """Returns the Phase of its clients' TrafficResults and the daemons' usage.

    ``usage_by_daemon`` has the processor share and the waiting share of each daemon.
    """
    histograms_by_name = {}
    for result in results:
        histogram = HdrHistogram(1, MAX_FIRST_TOKEN_US, 3)
        histogram.decode_and_add(result.histogram.encode())
        histograms_by_name[result.name] = histogram

    def percentile_ms(client, percentile):
        return histograms_by_name[client].get_value_at_percentile(percentile) / 1000.0

    return Phase(
        name=name,
        requests_per_s=requests_per_s,
        tokens_per_s=tokens_per_s,
        failures=sum(result.failures for result in results),
        broken=sum(result.broken for result in results),
        wrong=sum(result.wrong for result in results),
        cpu_share_by_daemon={
            name: shares[0] for name, shares in usage_by_daemon.items()
        },
        cpu_wait_share_by_daemon={
            name: shares[1] for name, shares in usage_by_daemon.items()
        },
        direct_p50_ms=percentile_ms("direct", 50),
        direct_p95_ms=percentile_ms("direct", 95),
        layer_p50_ms=percentile_ms("layer", 50),
        layer_p95_ms=percentile_ms("layer", 95),
    )


def print_phase(phase):
    cpu_shares = ", ".join(
        f"{name} {share:.1%} (starved {phase.cpu_wait_share_by_daemon[name]:.1%})"
        for name, share in phase.cpu_share_by_daemon.items()
    )
    print(
        f"{phase.name}: {phase.requests_per_s:.0f} requests/s, "
        f"{phase.tokens_per_s:.0f} tokens/s; core {cpu_shares}; first token direct "
        f"{phase.direct_p50_ms:.2f}/{phase.direct_p95_ms:.2f} ms, layer "
        f"{phase.layer_p50_ms:.2f}/{phase.layer_p95_ms:.2f} ms, added "
        f"{phase.added_p50_ms:.2f}/{phase.added_p95_ms:.2f} ms (p50/p95); "
        f"{phase.failures} failures ({phase.broken} broken off), {phase.wrong} wrong",
        flush=True,
    )


def cpu_costs_us(short, target):
    """Returns processor microseconds per request and per token, from two phases.

    The phases differ in the tokens per request.
    """
    short_cpu_share = sum(short.cpu_share_by_daemon.values())
    target_cpu_share = sum(target.cpu_share_by_daemon.values())
    tokens = target.tokens_per_s - short.tokens_per_s
    per_token = (target_cpu_share - short_cpu_share) / tokens * 1e6
    request_cpu_share = short_cpu_share - short.tokens_per_s * per_token / 1e6
    return request_cpu_share / short.requests_per_s * 1e6, per_token


async def run(arguments):
    target_tokens = round(TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S)
    stream_s = target_tokens * LOAD_ENGINE_STEP_S
    phases = []
    with tempfile.TemporaryDirectory() as folder:
        async with PathBenchmark(folder, arguments.profile) as bench:
            for daemon, daemon_label in DAEMONS[: arguments.daemons]:
                await bench.start_daemon(daemon)
                # In the meantime the replicas change owner and the adapters are loaded.
                await bench.run_phase("warm-up", 20.0, 4, 8.0, 6.0)
                for name, requests_per_s, tokens_per_request, warm_up_s in (
                    ("idle", 0.0, 0, 1.0),
                    ("short answers", TARGET_REQUESTS_PER_S, 8, 2.0),
                    ("target", TARGET_REQUESTS_PER_S, target_tokens, stream_s + 2.0),
                ):
                    if arguments.only and name != arguments.only:
                        continue
                    phase = await bench.run_phase(
                        f"{name}, {daemon_label}",
                        requests_per_s,
                        tokens_per_request,
                        warm_up_s + arguments.seconds,
                        warm_up_s,
                    )
                    phases.append(phase)
                    print_phase(phase)
    if not arguments.only:
        print(msgspec.json.encode(summary(phases)).decode())
    return 1 if any(phase.wrong for phase in phases) else 0


def summary(phases):
    """Returns the figures of the JSON line for one daemon and for two."""
    result = {}
    for daemon_count, (idle, short, target) in (
        ("one", phases[:3]),
        ("two", phases[3:]),
    ):
        per_request, per_token = cpu_costs_us(short, target)
        entry_cpu_share = target.cpu_share_by_daemon[ENTRY]
        result[daemon_count] = {
            "added_first_token_idle_ms": [idle.added_p50_ms, idle.added_p95_ms],
            "added_first_token_target_ms": [target.added_p50_ms, target.added_p95_ms],
            "core_at_target": target.cpu_share_by_daemon,
            "starved_at_target": target.cpu_wait_share_by_daemon,
            "us_per_request": round(per_request, 1),
            "us_per_token": round(per_token, 2),
            "requests_per_s": round(target.requests_per_s, 1),
            "tokens_per_s": round(target.tokens_per_s),
            "requests_per_s_at_60_percent": round(
                0.6 / entry_cpu_share * target.requests_per_s, 1
            ),
            "tokens_per_s_at_60_percent": round(
                0.6 / entry_cpu_share * target.tokens_per_s
            ),
            "failures": sum(phase.failures for phase in (idle, short, target)),
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
