"""Tests that all hosts learn in time which prompts crash replicas."""

import types

import anyio
import testtools

from snipetrestle.coordination.messaging.messages import encode
from snipetrestle.coordination.quarantine.shared_quarantine import (
    DATAGRAM_BYTES,
    MAX_ROUND_BYTES,
    SharedQuarantine,
)
from snipetrestle.gateway.quarantine.prompt_quarantine import PromptQuarantine
from snipetrestle.gateway.quarantine.request_fingerprint import prompt_part_key
from tests.coordination.test_leadership import run_system
from tests.systems import in_virtual_time, with_system

# From the fifth crash on, all hosts must refuse such prompts after this time.
LEARNING_TIME_S = 3.0
CRASHES = 5
CRASH_INTERVAL_S = 0.2
# A host that serves a part as often as all do reports it within this time.
STEP_S = 0.1
# Prompts whose reports are of the greatest length.
LONG_PROMPTS = 32
BAD = ("system", "customer", "bad")
GOOD = ("system", "customer")


class SharedQuarantineTest(testtools.TestCase):
    async def crash_replicas(self, members, count=CRASHES):
        """Replicas crash on a bad prompt, while each host serves good ones."""
        steps = round(count * CRASH_INTERVAL_S / STEP_S)
        for step in range(steps):
            for member in members:
                member.quarantine.note_served(GOOD)
            if step % round(CRASH_INTERVAL_S / STEP_S) == 0:
                member = members[step % len(members)]
                member.quarantine.note_lost(f"replica-{step} 1", BAD)
                # Another host's good prompt is lost by the same crash.
                other = members[(step + 1) % len(members)]
                other.quarantine.note_lost(f"replica-{step} 1", ("system", f"c{step}"))
            await anyio.sleep(STEP_S)

    def assert_all_refuse_only_bad(self, members):
        for member in members:
            self.assertTrue(member.quarantine.refuses(BAD), member.name)
            self.assertFalse(member.quarantine.refuses(GOOD), member.name)
            self.assertFalse(member.quarantine.refuses(("system",)), member.name)

    def check_all_learn(self, size):
        async def check(system):
            members = list(system.members.values())
            await self.crash_replicas(members)
            await anyio.sleep(LEARNING_TIME_S - CRASH_INTERVAL_S)
            self.assert_all_refuse_only_bad(members)

        run_system(check, size)

    def test_all_of_a_few_hosts_refuse_a_prompt_that_crashed_replicas_of_others(self):
        """Each host sees only a part of the crashes, and would send more requests."""
        self.check_all_learn(6)

    def test_all_of_many_hosts_refuse_a_prompt_that_crashed_replicas_of_others(self):
        """Among many hosts, reports reach most of them through the leader only."""
        self.check_all_learn(100)

    @with_system(run_system, 6)
    async def test_started_hosts_refuse_known_prompts_at_once(self, system):
        """Restarted hosts sent prompts to replicas that others had long refused."""
        await self.crash_replicas(list(system.members.values()))
        await anyio.sleep(30.0)
        started = system.start(7)
        await anyio.sleep(1.0)
        self.assert_all_refuse_only_bad([started])

    @with_system(run_system, 6)
    async def test_host_that_serves_a_part_objects_to_its_refusal(self, system):
        """A fresh host must not have a part refused that all others serve."""
        members = list(system.members.values())
        for number in range(CRASHES):
            for part in ("system", "rare"):
                members[0].quarantine.note_lost(f"replica-{number} 1", (part,))
            await anyio.sleep(0.2)
            for member in members[1:]:
                member.quarantine.note_served(("system",))
        await anyio.sleep(LEARNING_TIME_S)
        for member in members:
            self.assertFalse(member.quarantine.refuses(("system",)))
            self.assertTrue(member.quarantine.refuses(("rare",)))

    @with_system(run_system, 6)
    async def test_hosts_learn_without_a_leader(self, system):
        """The crashes may come while the leader is gone."""
        (leader,) = system.leaders()
        number = leader.hosts.own.port
        system.kill(number)
        members = list(system.members.values())
        await self.crash_replicas(members)
        await anyio.sleep(LEARNING_TIME_S - CRASH_INTERVAL_S)
        self.assert_all_refuse_only_bad(members)

    @with_system(run_system, 6)
    async def test_long_prompts_silence_no_host(self, system):
        """Heartbeats that carried 32 prompts of 31 parts were longer than a datagram:
        all hosts lost each other and their leader."""
        members = list(system.members.values())
        session_parts = [f"{number:064d}" for number in range(29)]
        for step in range(40):
            parts = ("system", f"{'bad':064}", *session_parts[:-1], f"{step:064d}")
            keys = tuple(map(prompt_part_key, parts))
            members[step % 6].quarantine.note_lost(f"replica-{step % 9} {step}", keys)
            members[step % 6].quarantine.note_served(("system", *keys[2:-1]))
            await anyio.sleep(0.05)
        await anyio.sleep(LEARNING_TIME_S)
        (leader,) = system.leaders()
        for member in members:
            self.assertEqual(leader.name, member.leadership.leader)
            self.assertTrue(member.leadership.has_recent_leader)
            self.assertTrue(
                member.quarantine.refuses((prompt_part_key(f"{'bad':064}"),))
            )

    @with_system(run_system, 6)
    async def test_many_refused_parts_are_all_told_to_a_started_host(self, system):
        """Hosts reported their 32 best prompts for ever, so a started host heard of too
        few crashes of the other refused parts."""
        members = list(system.members.values())
        session_parts = [prompt_part_key(f"{n:064d}") for n in range(29)]
        bad_parts = [prompt_part_key(f"bad{n:061d}") for n in range(32)]
        for step in range(4 * len(bad_parts)):
            keys = ("system", bad_parts[step % 32], *session_parts)
            member = members[step % 6]
            member.quarantine.note_lost(f"replica-{step} {step}", keys)
            member.quarantine.note_served(("system", *session_parts))
            await anyio.sleep(0.15)
        await anyio.sleep(LEARNING_TIME_S)
        (leader,) = system.leaders()
        members.append(system.start(7))
        await anyio.sleep(30.0)
        for member in members:
            self.assertEqual(leader.name, member.leadership.leader)
            self.assertTrue(member.leadership.has_recent_leader)
            refused = [p for p in bad_parts if member.quarantine.refuses((p,))]
            self.assertEqual(bad_parts, refused, member.name)

    @in_virtual_time
    async def test_all_reports_fit_and_none_is_left_out(self):
        """A report behind the bound of a round would never reach the other hosts."""
        sent = []
        endpoint = types.SimpleNamespace(
            register=lambda *args: None,
            send_all=lambda message, addresses: sent.append(message),
        )
        rounds = []
        hosts = types.SimpleNamespace(on_round=rounds.append)
        quarantine = PromptQuarantine()
        SharedQuarantine(quarantine, hosts, endpoint)
        for number in range(LONG_PROMPTS):
            # The longest that a message takes, in bytes.
            parts = tuple(f"\uffff{number:03}{part:03}" * 9 for part in range(32))
            quarantine.note_lost(f"{'r' * 200} {number}", parts)
            quarantine.note_served(parts)
        told = set()
        for _ in range(40):
            sent.clear()
            rounds[0]([("127.0.0.1", 1)])
            sizes = [len(encode(message)) for message in sent]
            self.assertLess(max(sizes), 2 * DATAGRAM_BYTES)
            self.assertLess(sum(sizes), 2 * MAX_ROUND_BYTES)
            told |= {report.crash for item in sent for report in item.prompts}
        self.assertEqual(LONG_PROMPTS, len(told))
