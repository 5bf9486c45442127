"""One run of the soak test: gateway processes, stand-ins, callers and seeded faults.

Faults start one after the other and overlap. After the last one has ended, every host
must be ready and serve every kind of request again.
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
    route,
)
from snipetrestle_standins.platform_replica import (
    USUAL_LOAD_S,
    Fault,
    PlatformReplica,
)
from snipetrestle_standins.platform_store import PlatformStore, StoreMode
from snipetrestle_standins.ports import free_port
from tests.soak.endless_bodies import (
    SOUND_ROUTE,
    EndlessBodies,
    sound_route,
)
from tests.soak.hosts import SHUTDOWN_GRACE_S, HostProcess
from tests.soak.oracle import Oracle, SentRequest
from tests.soak.proxy import LinkFault, LoopbackProxy

HOST_COUNT = 3
MODEL_REPLICA_COUNT = 3
REGISTER_REPLICA_COUNT = 2
ADAPTER_COUNT = 12
CALLERS_PER_HOST = 4
# A route that the operator adds after the last fault.
ADDED_ROUTE = "added"
REPEATABLE_ROUTES = frozenset({"draft", "lookup", ADDED_ROUTE, SOUND_ROUTE})
ROUTES = ("draft", "night", "entry", "lookup")
# A caller gives up on a request after this time.
ANSWER_TIMEOUT_S = 6.0
# Time after the last fault within which all requests must be served again: a leader
# that was cut off is replaced after its lease, and a silent store is noticed by a
# time-out.
RECOVERY_LIMIT_S = 20.0
# An answer that breaks off counts as an effect of a fault that ended up to this long
# before the request was sent.
FAULT_AFTEREFFECT_S = 3.0
START_TIMEOUT_S = 20.0
# The shortest timeout of a route. A request that took most of it is not counted as lost.
MIN_ROUTE_TIMEOUT_S = 4.0
LATE_FRACTION = 0.7
MAX_SILENCE_S = 1.5
# Long after the leader has read the replica's state again.
MAX_ORDER_DELAY_S = 4.0
# Time in which replicas fall silent and settings change, before the first fault.
PLANNED_PHASE_S = 5.0


def soak_configuration(version):
    """Returns the usual configuration, with the route of the sound callers."""
    document = configuration(version)
    document["routes"].append(sound_route())
    return document


class Soak:
    """One seeded run. ``violations`` lists the broken promises that it found.

    ``seconds`` is the time in which faults start; logs are written to ``folder``.
    """

    _called_routes = ROUTES
    _answer_timeout_s = ANSWER_TIMEOUT_S
    _callers_per_host = CALLERS_PER_HOST

    def __init__(self, seed, seconds, folder):
        self._random = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._folder = pathlib.Path(folder)
        self._store = PlatformStore()
        self._store_links = []
        self._replicas = [
            PlatformReplica(f"model-{number}", MODELS_BACKEND, "m0")
            for number in range(MODEL_REPLICA_COUNT)
        ]
        self._replicas += [
            PlatformReplica(f"register-{number}", REGISTER_BACKEND)
            for number in range(REGISTER_REPLICA_COUNT)
        ]
        self._replica_links_by_id = {}
        self._hosts = []
        self._configuration_version = 1
        self._last_born = 1
        self._versions_by_adapter = {}
        self._request_count = 0
        self._unplanned_fault_times = []
        # Excuse no answer that breaks off.
        self._planned_faults = (self._stop_host, self._change_configuration)
        self._callers_stopped_at = None
        # When all timeouts have their usual length again.
        self._settings_restored_at = None
        self.endless_bodies = None
        self.faults = []
        self.oracle = Oracle(REPEATABLE_ROUTES)

    @property
    def violations(self):
        return self.oracle.violations

    def _now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            async with asyncio.TaskGroup() as group:
                callers = [
                    group.create_task(self._run_caller(host))
                    for host in self._hosts
                    for _ in range(self._callers_per_host)
                ]
                await self._inject_faults(group)
                await self._check_recovery()
                self._callers_stopped_at = self._now()
                for caller in callers:
                    caller.cancel()
            await self._collect_records()
            self.oracle.check_replicas(self._replicas)
            self.oracle.check_sound_calls()
            self._check_interruptions()

    async def _start(self, stack):
        await self._store.start()
        stack.push_async_callback(self._store.stop)
        self._store.put("op/config", self._usual_configuration())
        await self._start_replicas(stack)
        await self._start_hosts(stack)

    async def _start_replicas(self, stack):
        for replica in self._replicas:
            await replica.start()
            stack.push_async_callback(replica.stop)
            self._replica_links_by_id[replica.id] = await self._start_proxy(
                stack, replica.port
            )
            self._publish(replica)

    async def _start_hosts(self, stack):
        ports = {name: free_port() for name in ("front", "ready", "control", "peers")}
        seeds = [f"127.0.0.{number + 2}" for number in range(HOST_COUNT)]
        for number in range(HOST_COUNT):
            link = await self._start_proxy(stack, self._store.port)
            self._store_links.append(link)
            host = HostProcess(number, self._folder, ports, seeds, link.address)
            await host.start()
            stack.push_async_callback(host.kill)
            self._hosts.append(host)
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self._hosts:
                await host.wait_ready()

    async def _start_proxy(self, stack, port):
        link = LoopbackProxy(("127.0.0.1", port))
        await link.start()
        stack.push_async_callback(link.stop)
        return link

    async def _collect_records(self):
        """Reads what replicas have recorded, where that is not in this process."""

    def _usual_configuration(self):
        """Returns the configuration without a change but that of its version."""
        return soak_configuration(self._configuration_version)

    def _publish(self, replica, **fields):
        replica.report_count += 1
        ip, port = self._replica_links_by_id[replica.id].address
        entry = replica.entry(address=f"{ip}:{port}", **fields)
        self._store.put(f"servers/{replica.id}", entry)

    def summary(self):
        """Returns how much the run tried."""
        served = sum(self.oracle.served_by_route.values())
        return (
            f"{len(self.faults)} faults, {self.endless_bodies.body_count} endless "
            f"bodies, {served} of {len(self.oracle.requests_by_id)} served"
        )

    # Callers

    async def _run_caller(self, host):
        """Sends requests; opens a new connection when the host closes the old one."""
        caller = None
        while True:
            await asyncio.sleep(self._random.uniform(0.01, 0.1))
            if not host.is_running:
                caller = None
                continue
            if caller is None:
                caller = self._make_caller(host)
                try:
                    await caller.__aenter__()
                except OSError:
                    caller = None
                    continue
            answer = await self._send_request(caller, host)
            if answer is None or answer.headers.get("connection") == "close":
                caller.writer.close()
                caller = None

    def _make_caller(self, host):
        return Caller(host.callers_address)

    async def _send_request(self, caller, host, route=None):
        """Sends one request. Returns its Response, or None if the connection is lost."""
        route = route or self._random.choice(self._called_routes)
        self._request_count += 1
        request_id = f"{self._seed}-{self._request_count}"
        method = "GET" if route == "lookup" else "POST"
        path = f"/{route}/{self._request_count}"
        is_stream = route in ("draft", "night")
        expected = None
        adapter = None
        if is_stream:
            adapter = f"a{min(ADAPTER_COUNT, int(self._random.paretovariate(1.0)))}"
        else:
            expected = f"{REGISTER_BACKEND} {method} {path}".encode()
        sent = SentRequest(request_id, route, host.name, expected, self._now())
        self.oracle.record_request(sent)
        answer = None
        try:
            async with asyncio.timeout(self._answer_timeout_s):
                answer = await caller.send_request(
                    path,
                    method=method,
                    adapter=adapter,
                    body=self._request_body(route),
                    headers=[("X-Request-Id", request_id)],
                )
        except (TimeoutError, OSError):
            pass
        finally:
            self.oracle.record_answer(sent, answer, self._now())
            self._note_answered(sent, caller)
        return answer if answer is not None and answer.complete else None

    def _request_body(self, route):
        """Returns the body of a request of a route."""
        return b""

    def _note_answered(self, sent, caller):
        """Called with each request that has ended, and its Caller."""

    # Faults

    async def _inject_planned_work(self, group):
        """Runs what excuses no answer that breaks off, before any fault does.

        The endless bodies beside it excuse the requests that got one, and no other.
        """
        generator = random.Random(f"{self._seed} planned work")
        deadline = self._now() + PLANNED_PHASE_S
        self.endless_bodies = EndlessBodies(
            self._seed, self._hosts, self._replicas, self.oracle
        )
        tasks = [group.create_task(self.endless_bodies.run())]
        while self._now() < deadline:
            work = generator.choice(
                (self._silence_replica, self._silence_replica, self._change_settings)
            )
            tasks.append(group.create_task(work(generator)))
            await asyncio.sleep(generator.uniform(0.1, 0.6))
        await asyncio.gather(*tasks)
        self._settings_restored_at = self._now()

    async def _inject_faults(self, group):
        fault_kinds = (
            self._kill_host,
            self._kill_all_hosts,
            self._stop_host,
            self._stop_host,
            self._pause_host,
            self._reload_host,
            self._fail_store,
            self._fail_store_link,
            self._clear_store_history,
            self._restore_store,
            self._fail_replica_link,
            self._fail_replica_link,
            self._fail_requests,
            self._restart_replica,
            self._change_configuration,
            self._declare_version,
        )
        await self._inject_planned_work(group)
        deadline = self._now() + self._seconds
        tasks = [group.create_task(self._disturb_orders(deadline))]
        while self._now() < deadline:
            fault = self._random.choice(fault_kinds)
            self.faults.append(
                (round(self._seconds - deadline + self._now(), 2), fault)
            )
            tasks.append(group.create_task(self._run_fault(fault)))
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    async def _disturb_orders(self, deadline):
        """Lets orders take effect late, or loads take long, at one replica at a time.

        The generator of its own leaves the other faults of a seed as they are.
        """
        generator = random.Random(f"{self._seed} orders")
        while self._now() < deadline:
            replica = generator.choice(self._replicas[:MODEL_REPLICA_COUNT])
            replica.load_s = generator.choice((0.02, 0.05, 1.5))
            replica.order_delay_s = generator.uniform(0.5, MAX_ORDER_DELAY_S)
            await asyncio.sleep(generator.uniform(0.05, 0.3))
            replica.order_delay_s = 0.0
            await asyncio.sleep(generator.uniform(0.2, 1.0))

    async def _run_fault(self, fault):
        started = self._now()
        await fault()
        if fault not in self._planned_faults:
            self._unplanned_fault_times.append((started, self._now()))

    async def _kill_host(self, host=None):
        host = host or self._random.choice(self._hosts)
        if host.stopping:
            return
        await host.kill()
        await asyncio.sleep(self._random.uniform(0.1, 1.5))
        await host.start()

    async def _kill_all_hosts(self):
        await asyncio.gather(*(self._kill_host(host) for host in self._hosts))

    async def _stop_host(self, host=None):
        host = host or self._random.choice(self._hosts)
        if host.stopping or host.paused:
            return
        started = self._now()
        await host.stop()
        if self._now() - started > SHUTDOWN_GRACE_S + 1.0:
            self.violations.append(
                f"LOST {host.name}: still ran after its grace period"
            )
        await host.start()

    async def _pause_host(self):
        host = self._random.choice(self._hosts)
        if host.stopping or host.paused:
            return
        host.pause()
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        host.resume()

    async def _reload_host(self, host=None):
        host = host or self._random.choice(self._hosts)
        if not host.stopping and host.survives_sighup:
            host.signal_process(signal.SIGHUP)

    async def _fail_store(self):
        modes = [mode for mode in StoreMode if mode is not StoreMode.UP]
        self._store.mode = self._random.choice(modes)
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self._store.mode = StoreMode.UP
        self._store.reset_connections()

    async def _fail_store_link(self):
        await self._inject_link_fault(self._random.choice(self._store_links))

    async def _fail_replica_link(self):
        await self._inject_link_fault(
            self._random.choice([*self._replica_links_by_id.values()])
        )

    async def _inject_link_fault(self, link):
        faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
        link.set_fault(self._random.choice(faults))
        await asyncio.sleep(self._random.uniform(0.3, 4.0))
        link.set_fault(LinkFault.NONE)

    async def _clear_store_history(self):
        self._store.compact_history()

    async def _fail_requests(self):
        replica = self._random.choice(self._replicas)
        replica.faults += self._random.choices(list(Fault), k=5)
        await asyncio.sleep(1.0)

    async def _restart_replica(self):
        """Restarts a replica under the same id, without its former state."""
        replica = self._random.choice(self._replicas)
        replica.restart()
        replica.model_load_s = 0.2
        self._last_born += 1
        replica.boot = self._last_born
        self._publish(replica)

    async def _restore_store(self):
        """Loses the newest changes of the store; all are then written again."""
        copy = self._store.copy()
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        self._store.restore(copy)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        self._publish_configuration()
        for adapter, version in self._versions_by_adapter.items():
            self._publish_version(adapter, version)
        for replica in self._replicas:
            self._publish(replica)

    async def _change_configuration(self):
        self._configuration_version += self._random.randint(1, 9)
        self._publish_configuration()

    async def _change_settings(self, generator):
        """Changes a timeout, routes, weights and idle limits, one after the other."""
        for _ in range(generator.randint(1, 4)):
            self._configuration_version += 1
            document = self._usual_configuration()
            generator.choice(
                (
                    self._change_timeouts,
                    self._change_routes,
                    self._change_weights,
                    self._change_idle_limit,
                )
            )(document, generator)
            self._store.put("op/config", document)
            await asyncio.sleep(generator.uniform(0.1, 0.8))
        self._configuration_version += 1
        self._publish_configuration()

    @staticmethod
    def _changing_routes(document):
        """Returns all routes but the sound callers', whose timeout is checked."""
        return [item for item in document["routes"] if item["name"] != SOUND_ROUTE]

    def _change_timeouts(self, document, generator):
        for item in self._changing_routes(document):
            item["timeout_ms"] = generator.uniform(MIN_ROUTE_TIMEOUT_S, 6.0) * 1000

    def _change_routes(self, document, generator):
        generator.shuffle(document["routes"])
        document["routes"].append(route("other", "idempotent", REGISTER_BACKEND))

    def _change_weights(self, document, generator):
        for item in document["routes"]:
            weight = generator.uniform(0.5, 2.0)
            item["split"] = [
                {"backend": item["backend"], "weight": weight},
                {"backend": item["backend"], "weight": 2.5 - weight},
            ]

    def _change_idle_limit(self, document, generator):
        document["limits"]["idle_timeout_ms"] = generator.choice((300, 1000, 5000))

    async def _silence_replica(self, generator):
        """Lets a replica send nothing for a while; it goes on with all its work."""
        replica = generator.choice(self._replicas)
        await replica.fall_silent(generator.uniform(0.3, MAX_SILENCE_S))

    def _publish_configuration(self):
        self._store.put("op/config", self._usual_configuration())

    def _add_route(self):
        self._configuration_version += 1
        document = self._usual_configuration()
        document["routes"].append(route(ADDED_ROUTE, "idempotent", REGISTER_BACKEND))
        self._store.put("op/config", document)

    async def _declare_version(self):
        adapter = f"a{self._random.randint(1, ADAPTER_COUNT)}"
        newest = self._versions_by_adapter.get(adapter, 1) + 1
        self._versions_by_adapter[adapter] = newest
        for replica in self._replicas:
            replica.newest_version_by_adapter[adapter] = newest
        self._publish_version(adapter, newest)

    def _publish_version(self, adapter, newest):
        self._store.put(
            f"op/version/m0.{adapter}",
            {"model": "m0", "adapter": adapter, "version": newest},
        )

    # Checks after the last fault

    async def _check_recovery(self):
        self._end_replica_faults()
        self._add_route()
        deadline = self._now() + RECOVERY_LIMIT_S
        routes = (*ROUTES, ADDED_ROUTE)
        not_served = {(host, name) for host in self._hosts for name in routes}
        while not_served and self._now() < deadline:
            await asyncio.sleep(0.2)
            for host, name in list(not_served):
                with contextlib.suppress(OSError):
                    async with self._make_caller(host) as caller:
                        answer = await self._send_request(caller, host, name)
                        if answer is not None and answer.status == 200:
                            not_served.discard((host, name))
        for host, name in not_served:
            self.violations.append(
                f"RECOVER {host.name}: no {name} within {RECOVERY_LIMIT_S} s"
            )
        for host in self._hosts:
            if host.exited_unexpectedly:
                self.violations.append(
                    f"END {host.name}: the process exited unexpectedly, "
                    f"code {host.exit_code}"
                )

    def _end_replica_faults(self):
        for replica in self._replicas:
            replica.faults.clear()
            replica.load_s = USUAL_LOAD_S

    def _check_interruptions(self):
        """Reports requests that ran and got no whole answer without a fault."""
        run_ids = {run_id for replica in self._replicas for run_id, _ in replica.runs}
        excused_ids = self.endless_bodies.excused_ids
        for sent in self.oracle.requests_by_id.values():
            if (
                is_interrupted(sent, run_ids)
                and sent.ended_at < self._callers_stopped_at
                and not self._may_have_timed_out(sent)
                and not self._overlaps_unplanned_fault(sent)
                and sent.id not in excused_ids
            ):
                self.oracle.record_interruption(sent)

    def _may_have_timed_out(self, sent):
        """Whether a timeout may have ended a request.

        Timeouts are not shortened once the settings are restored, so an answer that has
        begun and breaks off then was cut.
        """
        took_s = sent.ended_at - sent.sent_at
        if took_s < LATE_FRACTION * MIN_ROUTE_TIMEOUT_S:
            return False
        return not has_broken_off(sent) or sent.sent_at <= self._settings_restored_at

    def _overlaps_unplanned_fault(self, sent):
        return any(
            started <= sent.ended_at and sent.sent_at <= ended + FAULT_AFTEREFFECT_S
            for started, ended in self._unplanned_fault_times
        )


def is_interrupted(sent, run_ids):
    """Whether an answer broke off, or a request that ran got none of a replica's."""
    answer = sent.answer
    if answer is None or answer.status in (0, 502):
        return sent.id in run_ids
    return has_broken_off(sent)


def has_broken_off(sent):
    """Whether an answer began and did not end."""
    answer = sent.answer
    return answer is not None and answer.status == 200 and not answer.complete
