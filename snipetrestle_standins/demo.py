"""The demo: three daemons and all stand-ins in one process on loopback.

One small fleet serves the samples of both users. Callers send requests of the classes
waiting and batch, and writes, and check each answer.
"""

import json
import random
import time
from collections import Counter

import anyio
import httpcore

from snipetrestle.checking import parse_document
from snipetrestle.logs import set_up_logs
from snipetrestle.settings import DaemonSettings, LogSettings
from snipetrestle_standins.engine import StandInEngine, expected_text
from snipetrestle_standins.local_fleet import LocalFleet
from snipetrestle_standins.samples import SAMPLES, published_text, sample_api_key
from snipetrestle_standins.service import StandInService
from snipetrestle_standins.service_http import service_app
from snipetrestle_standins.store import StandInWeightStore

DAEMONS = [
    DaemonSettings(f"entry-{number}", f"domain-{number}", "loopback")
    for number in (1, 2, 3)
]
# Adapters per user; callers request the first ones most often.
ADAPTERS_PER_USER = 40
DURATION_S = 10.0
# Ends the whole demo if a fault keeps it from finishing.
TIME_LIMIT_S = 50.0
WAITING_CALLERS_PER_USER = 6
BATCH_CALLERS_PER_USER = 4
MEAN_PAUSE_S = 0.15
WRITES_PER_USER = 12


class UserConfiguration:
    """Published configuration of one user's sample with ADAPTERS_PER_USER adapters."""

    def __init__(self, sample):
        self.sample = sample
        data = parse_document(published_text(sample))
        store = f"weights-{sample.name}"
        data["weight_stores"][0]["name"] = store
        for server in data["backend_servers"]:
            server["region"] = "loopback"
            if "model" in server:
                server["weight_store"] = store
        data["adapters"] = data["adapters"][:ADAPTERS_PER_USER]
        self.data = data

    def make_engines(self):
        """Returns the user's engines by name; all load from one weight store."""
        store_settings = self.data["weight_stores"][0]
        store = StandInWeightStore(
            store_settings["loads_per_second"],
            store_settings["parallel_loads"],
            store_settings["load_s"],
            store_settings["full_speed_in_flight"],
        )
        return {
            server["name"]: StandInEngine(
                server["name"],
                store,
                adapter_slots=server["adapter_slots"],
                max_batch=server["max_batch"],
                speed=server["speed"],
                checks_fencing_numbers=server["checks_fencing_numbers"],
            )
            for server in self.data["backend_servers"]
            if "model" in server
        }

    def service_names(self):
        return [
            server["name"]
            for server in self.data["backend_servers"]
            if "service" in server
        ]


def combine_documents(documents, addresses_by_name):
    """Returns one published configuration with the data of all users."""
    combined = {
        "daemons": [
            {"name": daemon.name, "failure_domain": daemon.failure_domain}
            for daemon in DAEMONS
        ],
        "writes": {"keepers_per_key": 3},
        "operators": documents[0].data["operators"],
    }
    for section in (
        "models",
        "adapters",
        "customers",
        "backend_servers",
        "services",
        "weight_stores",
    ):
        combined[section] = [
            item for document in documents for item in document.data[section]
        ]
    for server in combined["backend_servers"]:
        server["address"] = addresses_by_name[server["name"]]
    return combined


class CallResults:
    """Counts answers and refusals by user and kind; ``wrong`` lists wrong answers."""

    def __init__(self):
        self.answers = Counter()
        self.refusals = Counter()
        self.wrong = []
        self.tokens = 0

    def progress_line(self):
        parts = [f"{kind} {count}" for kind, count in sorted(self.answers.items())]
        refused = sum(self.refusals.values())
        return ", ".join(parts) + f", refused {refused}, wrong {len(self.wrong)}"


class UserCallers:
    """Callers of one user, which send to a random daemon each time."""

    def __init__(self, document, fleet, results, seed):
        self.document = document
        self.sample = document.sample
        self._urls = [f"http://{app.callers_address}" for app in fleet.apps]
        self._results = results
        self._random = random.Random(f"{seed}-{self.sample.name}")
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)

    async def run(self):
        async with anyio.create_task_group() as task_group:
            for _ in range(WAITING_CALLERS_PER_USER):
                task_group.start_soon(self._send_completions, "waiting")
            for _ in range(BATCH_CALLERS_PER_USER):
                task_group.start_soon(self._send_completions, "batch")
            task_group.start_soon(self._send_writes)
        await self._pool.aclose()

    async def _send_completions(self, request_class):
        end = anyio.current_time() + DURATION_S
        while anyio.current_time() < end:
            await self._request_completion(request_class)
            if request_class == "waiting":
                await anyio.sleep(self._random.expovariate(1.0 / MEAN_PAUSE_S))

    async def _request_completion(self, request_class):
        # The Pareto distribution sends most of the requests to a few adapters.
        number = min(int(self._random.paretovariate(0.8)) - 1, ADAPTERS_PER_USER - 1)
        adapter = self.sample.adapter_pattern.format(number)
        prompt = f"Request {self._random.randrange(10_000)} of {self.sample.name}"
        count = self._random.randrange(8, 40)
        body = {
            "model": f"{self.sample.model}:{adapter}@1",
            "prompt": prompt,
            "max_tokens": count,
            "stream": request_class == "waiting",
        }
        customer = self.sample.customers[2 if request_class == "batch" else 0]
        response = await self._post(
            "/v1/completions",
            json.dumps(body).encode(),
            {
                "Authorization": f"Bearer {sample_api_key(customer)}",
                "X-Request-Class": request_class,
            },
        )
        if response.status != 200:
            self._count_refusal(response)
            return
        self._results.answers[f"{self.sample.name} {request_class}"] += 1
        self._results.tokens += count
        if read_text(response.content) != expected_text(adapter, "1", prompt, count):
            self._results.wrong.append((adapter, prompt))

    async def _send_writes(self):
        """Sends each write twice at once with one idempotency key.

        Both requests must get the same result, whichever daemons they reach.
        """
        for number in range(WRITES_PER_USER):
            target = (
                f"/v1/services/{self.sample.plain_service}"
                f"/{self.sample.write_operation}"
            )
            headers = {
                "Authorization": f"Bearer {sample_api_key(self.sample.customers[0])}",
                "Idempotency-Key": f"{self.sample.name}-{number}",
            }
            results = []
            async with anyio.create_task_group() as task_group:
                for _ in range(2):
                    task_group.start_soon(self._send_write, target, headers, results)
            if len(set(results)) > 1:
                self._results.wrong.append((target, number))
            if results:
                self._results.answers[f"{self.sample.name} writes"] += 1
            await anyio.sleep(DURATION_S / WRITES_PER_USER / 2)

    async def _send_write(self, target, headers, results):
        body = b'{"entry": "size 8"}'
        for _ in range(20):
            response = await self._post(target, body, headers)
            if response.status < 300:
                results.append(response.content)
                return
            self._count_refusal(response)
            await anyio.sleep(0.2)

    async def _post(self, path, body, headers):
        url = self._random.choice(self._urls) + path
        return await self._pool.request("POST", url, headers=headers, content=body)

    def _count_refusal(self, response):
        code = json.loads(response.content)["error"]["code"]
        self._results.refusals[f"{self.sample.name} {code}"] += 1


def read_text(body):
    """Returns the generated text of a response body, streamed or not."""
    if body.startswith(b"{"):
        return json.loads(body)["choices"][0]["text"]
    events = [line[6:] for line in body.split(b"\n\n") if line.startswith(b"data: {")]
    return "".join(
        choice["text"] for event in events for choice in json.loads(event)["choices"]
    )


async def run():
    """Runs the demo and returns the exit status."""
    set_up_logs(LogSettings(format="text", level="WARNING"))
    started = time.monotonic()
    with anyio.fail_after(TIME_LIMIT_S):
        documents = [UserConfiguration(sample) for sample in SAMPLES]
        async with (
            StandInService() as pattern_register,
            StandInService() as orders,
        ):
            services = (pattern_register, orders)
            status = await _run_fleet(documents, services)
    print(f"finished in {time.monotonic() - started:.0f} s")
    return status


async def _run_fleet(documents, services):
    """Serves the documents, runs the callers and returns the exit status."""
    engines, service_apps = {}, {}
    for document, service in zip(documents, services, strict=True):
        engines.update(document.make_engines())
        app = service_app(service, document.sample.plain_service)
        service_apps.update(dict.fromkeys(document.service_names(), app))
    fleet = LocalFleet(
        DAEMONS,
        lambda addresses: combine_documents(documents, addresses),
        engines,
        service_apps,
    )
    results = CallResults()
    async with fleet:
        print(
            f"{len(fleet.apps)} daemons, {len(engines)} engines and both services run"
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_show_progress, results)
            async with anyio.create_task_group() as caller_group:
                for document in documents:
                    user = UserCallers(document, fleet, results, seed=1)
                    caller_group.start_soon(user.run)
            task_group.cancel_scope.cancel()
        return _print_summary(fleet, results, services)


async def _show_progress(results):
    while True:
        await anyio.sleep(2.0)
        print(f"  {results.progress_line()}", flush=True)


def _print_summary(fleet, results, services):
    print("summary")
    for kind, count in sorted(results.answers.items()):
        print(f"  answers, {kind}: {count}")
    for kind, count in sorted(results.refusals.items()):
        print(f"  refused, {kind}: {count}")
    print(f"  wrong answers: {len(results.wrong)}")
    print(f"  tokens: {results.tokens}")
    executions = [
        count for service in services for count in service.executions_by_key.values()
    ]
    print(f"  writes run: {len(executions)}, at most {max(executions)} time each")
    for request_class in ("waiting", "batch"):
        stall_s, count, stalls = _histogram(fleet, "load_stall_seconds", request_class)
        size, sizes, _ = _histogram(fleet, "batch_size", request_class)
        first_s, firsts, _ = _histogram(fleet, "first_token_seconds", request_class)
        if not count:
            continue
        print(
            f"  {request_class}: {stalls:.0f} of {count:.0f} requests stalled on a load "
            f"for {stall_s:.1f} s in all; mean batch size {size / max(1, sizes):.1f}; "
            f"mean first token {first_s / max(1, firsts):.3f} s"
        )
    failed = results.wrong or max(executions) > 1 or not results.answers
    return 1 if failed else 0


def _histogram(fleet, name, request_class):
    """Returns (sum, count, count above 0.001) of a metric over all daemons."""
    total = count = above_lowest = 0.0
    for app in fleet.apps:
        for family in app.metrics.registry.collect():
            if family.name != f"snipetrestle_{name}":
                continue
            for sample in family.samples:
                if sample.labels.get("request_class") != request_class:
                    continue
                if sample.name.endswith("_sum"):
                    total += sample.value
                elif sample.name.endswith("_count"):
                    count += sample.value
                    above_lowest += sample.value
                elif sample.labels.get("le") == "0.001":
                    above_lowest -= sample.value
    return total, count, above_lowest
