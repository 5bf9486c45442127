"""One run of the soak: stand-ins, proxies, host processes, callers and faults by a seed.

Faults come one after the other and overlap. After the last one has ended, every host has
to be ready and to serve every kind of request again.
"""

import asyncio
import contextlib
import pathlib
import random
import signal

from snipetrestle_standins.gateway_fleet import (
    MODELS_BACKEND,
    REGISTER_BACKEND,
    Caller,
    configuration,
)
from snipetrestle_standins.platform_replica import Fault, PlatformReplica
from snipetrestle_standins.platform_store import PlatformStore, StoreMode
from snipetrestle_standins.ports import free_port
from tests.soak.hosts import GRACE_S, HostProcess
from tests.soak.oracle import Oracle, Sent
from tests.soak.proxy import LinkFault, LoopbackProxy

HOSTS = 3
MODEL_REPLICAS = 3
REGISTER_REPLICAS = 2
ADAPTERS = 12
CALLERS_A_HOST = 4
REPEATABLE = frozenset({"draft", "lookup"})
ROUTES = ("draft", "night", "entry", "lookup")
# A caller without an answer for this long leaves.
ANSWER_TIMEOUT_S = 6.0
# Within this time after the last fault, all must be served again: a leader that was cut
# off is replaced after its lease, and a silent store is noticed by a time-out.
RECOVER_S = 20.0
# A planned stop explains nothing if no other fault was in force this long before.
CALM_S = 3.0
START_TIMEOUT_S = 20.0


class Soak:
    """One seeded run. ``broken`` lists the promises that it found broken."""

    def __init__(self, seed, seconds, folder):
        self._random = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._folder = pathlib.Path(folder)
        self._store = PlatformStore()
        self._store_links = []
        self._replicas = [
            PlatformReplica(f"model-{number}", MODELS_BACKEND, "m0")
            for number in range(MODEL_REPLICAS)
        ]
        self._replicas += [
            PlatformReplica(f"register-{number}", REGISTER_BACKEND)
            for number in range(REGISTER_REPLICAS)
        ]
        self._links_by_id = {}
        self._hosts = []
        self._version = 1
        self._births = 1
        self._numbers = 0
        self._faults_until = 0.0
        self._unplanned = []
        self.faults = []
        self.oracle = Oracle(REPEATABLE)

    @property
    def broken(self):
        return self.oracle.broken

    def _now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            async with asyncio.TaskGroup() as group:
                callers = [
                    group.create_task(self._call(host))
                    for host in self._hosts
                    for _ in range(CALLERS_A_HOST)
                ]
                await self._disturb(group)
                await self._check_recovery()
                for caller in callers:
                    caller.cancel()
            self.oracle.check_replicas(self._replicas)
            self._check_cuts()

    async def _start(self, stack):
        await self._store.start()
        stack.push_async_callback(self._store.stop)
        self._store.put("op/config", configuration())
        for replica in self._replicas:
            await replica.start()
            stack.push_async_callback(replica.stop)
            self._links_by_id[replica.id] = await self._link(stack, replica.port)
            self._publish(replica)
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        seeds = [f"127.0.0.{number + 2}" for number in range(HOSTS)]
        for number in range(HOSTS):
            link = await self._link(stack, self._store.port)
            self._store_links.append(link)
            host = HostProcess(number, self._folder, ports, seeds, link.address)
            await host.start()
            stack.push_async_callback(host.kill)
            self._hosts.append(host)
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self._hosts:
                await host.wait_ready()

    async def _link(self, stack, port):
        link = LoopbackProxy(("127.0.0.1", port))
        await link.start()
        stack.push_async_callback(link.stop)
        return link

    def _publish(self, replica, **fields):
        ip, port = self._links_by_id[replica.id].address
        entry = replica.entry(address=f"{ip}:{port}", **fields)
        self._store.put(f"servers/{replica.id}", entry)

    # Callers

    async def _call(self, host):
        """One caller: keeps its connection until the host closes it."""
        caller = None
        while True:
            await asyncio.sleep(self._random.uniform(0.01, 0.1))
            if not host.runs:
                caller = None
                continue
            if caller is None:
                caller = Caller(host.front)
                try:
                    await caller.__aenter__()
                except OSError:
                    caller = None
                    continue
            answer = await self._ask(caller, host)
            if answer is None or answer.headers.get("connection") == "close":
                caller.writer.close()
                caller = None

    async def _ask(self, caller, host, route=None):
        """Sends one request. Returns the Response, or None if the connection is over."""
        route = route or self._random.choice(ROUTES)
        self._numbers += 1
        request_id = f"{self._seed}-{self._numbers}"
        method = "GET" if route == "lookup" else "POST"
        path = f"/{route}/{self._numbers}"
        is_stream = route in ("draft", "night")
        expected = None
        adapter = None
        if is_stream:
            adapter = f"a{min(ADAPTERS, int(self._random.paretovariate(1.0)))}"
        else:
            expected = f"{REGISTER_BACKEND} {method} {path}".encode()
        sent = Sent(request_id, route, host.name, expected, self._now())
        self.oracle.note_sent(sent)
        answer = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await caller.send_request(
                    path,
                    method=method,
                    adapter=adapter,
                    headers=[("X-Request-Id", request_id)],
                )
        except (TimeoutError, OSError):
            pass
        finally:
            self.oracle.note_answer(sent, answer, self._now())
        return answer if answer is not None and answer.complete else None

    # Faults

    async def _disturb(self, group):
        end = self._now() + self._seconds
        kinds = (
            self._kill_host,
            self._kill_all,
            self._stop_host,
            self._stop_host,
            self._pause_host,
            self._reload_host,
            self._break_store,
            self._cut_store,
            self._forget_history,
            self._break_link,
            self._break_link,
            self._fail_requests,
            self._restart_replica,
            self._change_configuration,
            self._declare_version,
        )
        tasks = []
        while self._now() < end:
            fault = self._random.choice(kinds)
            self.faults.append((round(self._seconds - end + self._now(), 2), fault))
            tasks.append(group.create_task(self._run_fault(fault)))
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    async def _run_fault(self, fault):
        started = self._now()
        await fault()
        if fault != self._stop_host:
            self._unplanned.append((started, self._now()))

    async def _kill_host(self, host=None):
        host = host or self._random.choice(self._hosts)
        if host.stopping:
            return
        await host.kill()
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await host.start()

    async def _kill_all(self):
        await asyncio.gather(*(self._kill_host(host) for host in self._hosts))

    async def _stop_host(self):
        host = self._random.choice(self._hosts)
        if host.stopping or host.paused:
            return
        started = self._now()
        await host.stop()
        if self._now() - started > GRACE_S + 1.0:
            self.broken.append(f"LOST {host.name}: still ran after its grace period")
        await host.start()

    async def _pause_host(self):
        host = self._random.choice(self._hosts)
        if host.stopping or host.paused:
            return
        host.pause()
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        host.resume()

    async def _reload_host(self):
        host = self._random.choice(self._hosts)
        if not host.stopping:
            host.signal(signal.SIGHUP)

    async def _break_store(self):
        modes = [mode for mode in StoreMode if mode is not StoreMode.UP]
        self._store.mode = self._random.choice(modes)
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self._store.mode = StoreMode.UP
        self._store.reset_connections()

    async def _cut_store(self):
        await self._disturb_link(self._random.choice(self._store_links))

    async def _break_link(self):
        await self._disturb_link(self._random.choice([*self._links_by_id.values()]))

    async def _disturb_link(self, link):
        faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
        link.set_fault(self._random.choice(faults))
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        link.set_fault(LinkFault.NONE)

    async def _forget_history(self):
        self._store.compact_history()

    async def _fail_requests(self):
        replica = self._random.choice(self._replicas)
        replica.faults += self._random.choices(list(Fault), k=5)
        await asyncio.sleep(1.0)

    async def _restart_replica(self):
        """A replica that forgets all, and comes back under its id."""
        replica = self._random.choice(self._replicas)
        replica.restart()
        replica.model_load_s = 0.2
        self._births += 1
        self._publish(replica, born=self._births)

    async def _change_configuration(self):
        self._version += self._random.randint(1, 9)
        self._store.put("op/config", configuration(self._version))

    async def _declare_version(self):
        adapter = f"a{self._random.randint(1, ADAPTERS)}"
        for replica in self._replicas:
            newest = replica.newest_version_by_adapter.get(adapter, 1) + 1
            replica.newest_version_by_adapter[adapter] = newest
        self._store.put(
            f"op/version/m0.{adapter}",
            {"model": "m0", "adapter": adapter, "version": newest},
        )

    # Checks at the end

    async def _check_recovery(self):
        for replica in self._replicas:
            replica.faults.clear()
        end = self._now() + RECOVER_S
        missing = {(host, route) for host in self._hosts for route in ROUTES}
        while missing and self._now() < end:
            await asyncio.sleep(0.2)
            for host, route in list(missing):
                with contextlib.suppress(OSError):
                    async with Caller(host.front) as caller:
                        answer = await self._ask(caller, host, route)
                        if answer is not None and answer.status == 200:
                            missing.discard((host, route))
        for host, route in missing:
            self.broken.append(f"RECOVER {host.name}: no {route} within {RECOVER_S} s")
        for host in self._hosts:
            if host.ended_by_itself:
                self.broken.append(f"END {host.name}: the process ended by itself")

    def _check_cuts(self):
        """Finds requests cut off although only planned stops were in force."""
        for sent in self.oracle.sent_by_id.values():
            answer = sent.answer
            is_cut = answer is not None and answer.status == 200 and not answer.complete
            if is_cut and not self._is_disturbed(sent):
                self.oracle.note_cut(sent)

    def _is_disturbed(self, sent):
        return any(
            started <= sent.ended_at and sent.sent_at <= ended + CALM_S
            for started, ended in self._unplanned
        )
