"""Tests of the parts of a request limit that hosts use without a leader."""

import math
import random
import types

import anyio
import testtools

from snipetrestle.gateway.backends.request_limits import (
    RequestLimit,
    RequestLimits,
    senders_to,
)
from snipetrestle_standins.clock import run_in_virtual_time

WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
STEP_S = 0.01


class Hosts:
    """The hosts as one of them, ``name``, knows them."""

    def __init__(self, name, names):
        self.own = types.SimpleNamespace(name=name)
        self.names = tuple(names)
        self.max_known = len(self.names)

    def sender_names(self):
        return self.names


class Host:
    """A host that sends to one replica whenever it may."""

    def __init__(self, number, count):
        names = [f"h{item}" for item in range(count)]
        self.hosts = Hosts(f"h{number}", names)
        self.limits = RequestLimits(self.hosts, random.Random(number))
        self.limit = RequestLimit("replica-1")

    def send_if_permitted(self):
        if self.limits.wait_s(self.limit) > 0:
            return 0
        self.limits.take(self.limit)
        return 1


class LimitPartsTest(testtools.TestCase):
    def check_sum(self, host_count, per_s):
        async def check():
            hosts = [Host(number, host_count) for number in range(host_count)]
            for host in hosts:
                host.limit.note(per_s, anyio.current_time())
            # Permits that are not used must not add up.
            await anyio.sleep(60.0)
            sent = []
            for _ in range(round(30.0 / STEP_S)):
                sent.append(sum(host.send_if_permitted() for host in hosts))
                await anyio.sleep(STEP_S)
            steps = round(WINDOW_S / STEP_S)
            most = max(
                sum(sent[start : start + steps]) for start in range(len(sent) - steps)
            )
            self.assertLessEqual(most, TOLERANCE * per_s * WINDOW_S + EXTRA_REQUESTS)
            self.assertLessEqual(sum(sent[steps:]) / 26.0, per_s * 1.1)
            self.assertGreater(sum(sent[steps:]) / 26.0, per_s * 0.8)

        run_in_virtual_time(check)

    def test_few_hosts_stay_within_the_limit_together(self):
        """Each host alone kept the limit, and their sum was several times it."""
        for per_s in (1.0, 4.2, 30.0):
            self.check_sum(6, per_s)

    def test_many_hosts_stay_within_the_limit_together(self):
        """One request of each of many hosts exceeds a limit of a few."""
        for per_s in (1.0, 4.2, 30.0):
            self.check_sum(81, per_s)

    def test_hosts_agree_on_the_senders(self):
        """Otherwise more hosts would send than the limit was divided by."""
        names = tuple(f"h{number}" for number in range(195))
        senders = senders_to("replica-1", 2.0, names)
        self.assertEqual(7, len(senders))
        self.assertEqual(senders, senders_to("replica-1", 2.0, names[::-1]))
        self.assertNotEqual(senders, senders_to("replica-2", 2.0, names))

    def test_hosts_that_are_cut_off_keep_their_parts(self):
        """A host that hears nobody took itself for the only one, with the whole limit."""

        async def check():
            host = Host(0, 6)
            host.limit.note(2.0, anyio.current_time())
            for names in (host.hosts.names, ("h0",)):
                host.hosts.names = names
                await anyio.sleep(host.limits.wait_s(host.limit))
                host.limits.take(host.limit)
                self.assertAlmostEqual(3.0, host.limits.wait_s(host.limit))

        run_in_virtual_time(check)

    def test_limit_ends_with_the_first_response_without_one(self):
        """A replica that recovered must get its usual requests at once."""

        async def check():
            host = Host(0, 400)
            host.limit.note(1.0, 5.0)
            self.assertEqual(math.inf, host.limits.wait_s(host.limit))
            # Another host reports what it heard before.
            host.limit.note(None, 4.0)
            self.assertEqual(math.inf, host.limits.wait_s(host.limit))
            host.limit.note(None, 6.0)
            self.assertEqual(0.0, host.limits.wait_s(host.limit))

        run_in_virtual_time(check)
