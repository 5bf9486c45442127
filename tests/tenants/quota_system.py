"""Hosts with quotas on a simulated network, and tenants that send through them."""

import random
import types

import anyio

from snipetrestle.coordination.membership.hosts import KnownHost
from snipetrestle.coordination.membership.key_owners import KeyOwners
from snipetrestle.coordination.membership.lost_hosts import LostHosts
from snipetrestle.coordination.membership.pause_watch import PauseWatch
from snipetrestle.coordination.messaging.messages import HostInfo
from snipetrestle.coordination.quotas.quota_issuer import QuotaIssuer
from snipetrestle.coordination.quotas.quota_requests import QuotaRequests
from snipetrestle.gateway.metrics import GatewayMetrics
from snipetrestle.limits.rate_pool import RatePool
from snipetrestle.log_lines import RequestLines
from snipetrestle.tenants.configuration import Quota, QuotaUnit, Tenant
from snipetrestle.tenants.quota_accounts import QuotaAccounts
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.datagram_network import LocalEndpoint
from tests.coordination.test_leadership import ELECTION_WAIT_S, Member, System

WINDOW_S = 8.0
QUOTA_OVER = 0.25
SLACK_TOKENS = 11_000
# A quarter of a target latency of 1 s.
MAX_WAIT_S = 0.25


def make_tenant(name, rate_per_s, burst, unit=QuotaUnit.TOKENS):
    return Tenant(name, frozenset(), quota=Quota(unit, rate_per_s, burst))


class QuotaParts:
    """What a host needs to own and use quotas."""

    def build_quotas(self, system):
        self.system = system
        self.is_frozen = False
        self.owners = KeyOwners(self.hosts)
        self.requests = QuotaRequests(self.hosts, self.endpoint, self.owners)
        self.pause_watch = PauseWatch()
        self.issuer = QuotaIssuer(
            self.hosts,
            self.leadership,
            self.endpoint,
            self.owners,
            self.requests,
            system.tenants_by_name.get,
            self.pause_watch,
            system.has_ended,
        )
        self.metrics = GatewayMetrics()
        self.accounts = QuotaAccounts(
            self.name,
            self.owners,
            self.requests,
            self.issuer,
            self.pause_watch,
            RequestLines(),
            self.metrics,
        )

    async def run_quotas(self):
        async with anyio.create_task_group() as group:
            for task in (self.pause_watch.run, self.issuer.run, self.accounts.run):
                group.start_soon(task)


class QuotaMember(QuotaParts, Member):
    """A Member that also owns and uses quotas."""

    def __init__(self, system, number, boot):
        super().__init__(system, number, boot)
        self.build_quotas(system)

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as group:
                for task in (
                    self.hosts.run,
                    self.leadership.run,
                    self.run_quotas,
                ):
                    group.start_soon(task)

    def freeze(self):
        """Stops all tasks, as a stopped process does; its datagrams are lost."""
        self.is_frozen = True
        self.endpoint.up = False
        self.scope.cancel()

    def wake(self):
        self.is_frozen = False
        self.endpoint.up = True
        self.scope = anyio.CancelScope()
        self.system.network.task_group.start_soon(self.run)


class QuotaSystem(System):
    """A System of QuotaMembers with the tenants that are in force."""

    def __init__(self, size, tenants=(), **options):
        super().__init__(size, **options)
        self.tenants_by_name = {tenant.name: tenant for tenant in tenants}
        self.rng = random.Random(7)

    def create_member(self, number):
        return QuotaMember(self, number, self.boots)

    def set_tenant(self, tenant):
        self.tenants_by_name[tenant.name] = tenant

    def owner(self, tenant_name):
        """Returns the member that owns a tenant in the view of the first one.

        Returns None if that has stopped.
        """
        first = next(iter(self.members.values()))
        name = first.owners.owner(tenant_name)
        members = self.members.values()
        return next((item for item in members if item.name == name), None)

    def running(self):
        return [item for item in self.members.values() if not item.is_frozen]


class Callers:
    """Callers of one tenant, and what the quota granted and refused them.

    They send ``rate_per_s`` units a second at random times in requests of ``size``
    units, to the members that ``choose(running members, rng)`` returns. With
    ``is_inside``, they keep within the tenant's own limit.
    """

    def __init__(self, system, name, load_per_s, size, choose, is_inside):
        self.system = system
        self.name = name
        self.load_per_s = load_per_s
        self.size = size
        self.choose = choose
        self.is_inside = is_inside
        self.is_quiet = False
        self.granted = []
        self.refused = []
        self.retry_after_s = []
        quota = system.tenants_by_name[name].quota
        # Slightly less than the limit, as the waits of requests shift their times.
        self._own_limit = RatePool(0.95 * quota.rate_per_s, 0.9 * quota.burst)

    async def run(self):
        rng = random.Random(self.name)
        while True:
            await anyio.sleep(rng.expovariate(self.load_per_s / self.size))
            members = self.system.running()
            member = self.choose(members, rng) if members else None
            if member is None or self.is_quiet:
                continue
            if self.is_inside:
                if self._own_limit.wait_s(self.size):
                    continue
                self._own_limit.take(self.size)
            self.system.network.task_group.start_soon(self._send, member)

    async def _send(self, member):
        tenant = self.system.tenants_by_name[self.name]
        retry_after_s = await member.accounts.acquire(tenant, self.size, MAX_WAIT_S)
        now = anyio.current_time()
        if member.is_frozen:
            return
        if retry_after_s is None:
            self.granted.append((now, self.size))
        else:
            self.refused.append((now, member.name, retry_after_s))

    def largest_window(self, since=0.0):
        """Returns the largest sum of granted units in a window of WINDOW_S."""
        largest = total = 0.0
        granted = sorted(item for item in self.granted if item[0] >= since)
        start = 0
        for at, amount in granted:
            total += amount
            while granted[start][0] <= at - WINDOW_S:
                total -= granted[start][1]
                start += 1
            largest = max(largest, total)
        return largest


def largest_allowed(quota):
    """Returns the largest sum in a window by the rule."""
    slack = SLACK_TOKENS if quota.unit is QuotaUnit.TOKENS else 0
    return (quota.rate_per_s * WINDOW_S + quota.burst) * (1 + QUOTA_OVER) + slack


def run_quota_system(function, size, tenants, **options):
    async def main():
        system = QuotaSystem(size, tenants, **options)
        async with anyio.create_task_group() as group:
            system.network.task_group = group
            for number in range(1, size + 1):
                system.start(number)
            await anyio.sleep(ELECTION_WAIT_S)
            await function(system)
            group.cancel_scope.cancel()

    return run_in_virtual_time(main)


class _StaticHosts:
    """Hosts that never change, without heartbeats."""

    is_only_host = False
    leaving = False

    def __init__(self, own, infos):
        self.lost = LostHosts()
        self.own = own
        self.by_name = {
            info.name: KnownHost(info, 0.0) for info in infos if info is not own
        }
        self._names = tuple(sorted(info.name for info in infos))

    def sender_names(self):
        return self._names

    def count(self):
        return len(self._names)

    count_with_lost = count


class _StaticMember(QuotaParts):
    """A host of a system whose hosts never change."""

    is_frozen = False

    def __init__(self, system, info, infos):
        self.name = info.name
        self.endpoint = LocalEndpoint(system.network, info.name, (info.ip, info.port))
        self.hosts = _StaticHosts(info, infos)
        self.leadership = types.SimpleNamespace(
            reached_count=lambda: len(infos), unreached_digests=tuple
        )
        self.build_quotas(system)


def run_static_quota_system(function, size, tenants):
    """Runs ``function(system)`` with hosts whose heartbeats are left out.

    Those of many hosts cost far more than the messages of quotas.
    """

    async def main():
        system = QuotaSystem(0, tenants)
        infos = [
            HostInfo(f"entry-{number}", 1, "127.0.0.1", number, "zone-1", 1.0)
            for number in range(1, size + 1)
        ]
        async with anyio.create_task_group() as group:
            system.network.task_group = group
            for number, info in enumerate(infos, 1):
                member = system.members[number] = _StaticMember(system, info, infos)
                group.start_soon(member.run_quotas)
            await function(system)
            group.cancel_scope.cancel()

    return run_in_virtual_time(main)
