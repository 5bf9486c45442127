"""Measures membership after lost hosts and a partition, on the advanced clock.

The fleet has the size that the design plans for.

``python -m benchmarks.control_events`` takes some minutes and writes its table into
docs/CAPACITY.md with ``--write-page``.
"""

import sys

import anyio
from loguru import logger

from benchmarks.capacity_page import PAGE, replace_block
from benchmarks.capacity_totals import DAEMONS, FAILURE_DOMAINS, REPLICAS
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document

SETTLE_S = 60.0
RESTART_WAIT_S = 60.0
RACK_HOSTS = 10
# The partition lasts this long. All daemons have its updates by then, so a longer one
# changes nothing.
PARTITION_S = 180.0
# Bytes are counted for this time after an event, and entries are observed for twice it.
WINDOW_S = 10.0
# Share of the changed entries of all views that must be right for convergence.
CONVERGED_SHARE = 0.99


class MembershipViews:
    """Compares all daemons' views of the members with the expected states.

    ``expected`` returns the state's name for the names of an observer and a member.
    """

    def __init__(self, fleet, expected):
        self._fleet = fleet
        self._expected = expected

    def wrong_share(self):
        """Returns the share of the entries whose state is not the expected one."""
        count = wrong = 0
        for name, daemon in self._fleet.daemons_by_name.items():
            for member in daemon.membership.members():
                if member.name != name:
                    count += 1
                    wrong += str(member.state) != self._expected(name, member.name)
        return wrong / count


async def measure_event(fleet, expected):
    """Returns (seconds until 99% are right, bytes/s per daemon, share wrong at last).

    The shares are of the entries that the event changes; they are observed for 20 s.
    The seconds are None if the entries did not converge in that time. The bytes are
    sent and received.
    """
    views = MembershipViews(fleet, expected)
    changed_share = views.wrong_share()
    start = anyio.current_time()
    before = fleet.network.sent_bytes
    bytes_per_s = converged_after_s = None
    while anyio.current_time() - start < 2 * WINDOW_S:
        await anyio.sleep(1.0)
        elapsed = anyio.current_time() - start
        if bytes_per_s is None and elapsed >= WINDOW_S:
            sent = fleet.network.sent_bytes - before
            bytes_per_s = 2 * sent / elapsed / len(fleet.daemons_by_name)
        if (
            converged_after_s is None
            and views.wrong_share() <= (1 - CONVERGED_SHARE) * changed_share
        ):
            converged_after_s = elapsed
    return converged_after_s, bytes_per_s, views.wrong_share() / changed_share


async def measure_events():
    """Returns the table's rows: losses of growing size, a partition and its end."""
    rows = []
    async with MembershipFleet(DAEMONS, domains=FAILURE_DOMAINS) as fleet:
        fleet.configuration.publish(encode_document(small_document(100)))
        fleet.start_all()
        await anyio.sleep(SETTLE_S)
        hosts = fleet.hosts.current
        domain = [host.name for host in hosts if host.failure_domain == "domain-0"]
        for label, lost in (
            ("a host lost", ["entry-1"]),
            ("a rack lost", [f"entry-{number}" for number in range(RACK_HOSTS)]),
            ("a failure domain lost", domain),
        ):
            rows.append(await measure_loss(fleet, label, lost))
            await restart_daemons(fleet, hosts, lost)
        region = {host.name for host in hosts if host.region == "region-0"}
        rest = {host.name for host in hosts} - region
        fleet.network.partition(region, rest)
        rows.append(
            (
                f"a region of {len(region)} cut off",
                *await measure_event(
                    fleet,
                    lambda observer, member: (
                        "alive"
                        if (observer in region) == (member in region)
                        else "failed"
                    ),
                ),
                0,
            )
        )
        await anyio.sleep(PARTITION_S)
        fleet.network.heal()
        result = await measure_event(fleet, lambda observer, member: "alive")
        rows.append(("the region is back", *result, 0))
    return rows


async def measure_loss(fleet, label, lost):
    """Kills the daemons and returns a row, with the replicas that change owner."""
    for name in lost:
        fleet.kill(name)
    lost_names = set(lost)
    result = await measure_event(
        fleet, lambda observer, member: "failed" if member in lost_names else "alive"
    )
    return (label, *result, len(lost) * REPLICAS / DAEMONS)


async def restart_daemons(fleet, hosts, lost):
    lost_names = set(lost)
    for host in hosts:
        if host.name in lost_names:
            fleet.start(host)
    await anyio.sleep(RESTART_WAIT_S)


def events_table(rows):
    lines = [
        "| event | 99% of the changed entries right after (s) | B/s per daemon in 10 s | wrong "
        "after 20 s | replicas that move |",
        "| --- " * 5 + "|",
    ]
    for label, converged_after_s, bytes_per_s, wrong, moved in rows:
        seconds = f"more than {2 * WINDOW_S:.0f}"
        if converged_after_s is not None:
            seconds = f"{converged_after_s:.0f}"
        lines.append(
            f"| {label} | {seconds} | {bytes_per_s:,.0f} | {wrong:.2%} | {moved:.0f} |"
        )
    return "\n".join(lines) + "\n"


def main(argv):
    logger.remove()
    table = events_table(run_in_virtual_time(measure_events))
    print(table)
    if "--write-page" in argv:
        PAGE.write_text(replace_block(PAGE.read_text(), "events", table))


if __name__ == "__main__":
    main(sys.argv[1:])
