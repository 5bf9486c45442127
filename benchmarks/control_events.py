"""Cost of losses in a fleet of the two-year size, on the advanced clock.

``python -m benchmarks.control_events`` takes some minutes and writes its table into
docs/CAPACITY.md with ``--write-page``.
"""

import sys

import anyio
from loguru import logger

from benchmarks.capacity_page import PAGE, replace_block
from benchmarks.capacity_totals import DAEMONS, DOMAINS, REPLICAS
from snipetrestle_standins.clock import run_in_virtual_time
from snipetrestle_standins.fleet import MembershipFleet, encode_document, small_document

SETTLE_S = 60.0
LIMIT_S = 60.0
RACK_HOSTS = 10
# The region is cut off for this long; the updates of the cut are spread by then, so a
# longer cut changes nothing.
CUT_S = 180.0
WINDOW_S = 10.0
# Part of the changed entries of all views that has to be right.
NEARLY_ALL = 0.99


class Views:
    """Entries of all daemons' views, by whether they are as expected."""

    def __init__(self, fleet, expected):
        self._fleet = fleet
        self._expected = expected

    def wrong(self):
        """Returns the part of the entries that is wrong."""
        count = wrong = 0
        for name, daemon in self._fleet.daemons_by_name.items():
            for member in daemon.membership.members():
                if member.name != name:
                    count += 1
                    wrong += str(member.state) != self._expected(name, member.name)
        return wrong / count


async def measure_event(fleet, expected):
    """Returns (seconds until nearly all are right, bytes/s, part wrong after 20 s).

    The parts are of the entries that the event changes.
    """
    views = Views(fleet, expected)
    changed = views.wrong()
    start = anyio.current_time()
    before = fleet.network.sent_bytes
    rate = reached = None
    while anyio.current_time() - start < 2 * WINDOW_S:
        await anyio.sleep(1.0)
        elapsed = anyio.current_time() - start
        if rate is None and elapsed >= WINDOW_S:
            sent = fleet.network.sent_bytes - before
            rate = 2 * sent / elapsed / len(fleet.daemons_by_name)
        if reached is None and views.wrong() <= (1 - NEARLY_ALL) * changed:
            reached = elapsed
    return reached, rate, views.wrong() / changed


async def measure():
    rows = []
    async with MembershipFleet(DAEMONS, domains=DOMAINS) as fleet:
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
            await restart(fleet, hosts, lost)
        region = {host.name for host in hosts if host.region == "region-0"}
        rest = {host.name for host in hosts} - region
        fleet.network.partition(region, rest)
        rows.append(
            (
                f"a region of {len(region)} cut off",
                *await measure_event(
                    fleet,
                    lambda one, other: (
                        "alive" if (one in region) == (other in region) else "failed"
                    ),
                ),
                0,
            )
        )
        await anyio.sleep(CUT_S)
        fleet.network.heal()
        result = await measure_event(fleet, lambda one, other: "alive")
        rows.append(("the region is back", *result, 0))
    return rows


async def measure_loss(fleet, label, lost):
    for name in lost:
        fleet.kill(name)
    gone = set(lost)
    result = await measure_event(
        fleet, lambda one, other: "failed" if other in gone else "alive"
    )
    return (label, *result, len(lost) * REPLICAS / DAEMONS)


async def restart(fleet, hosts, lost):
    gone = set(lost)
    for host in hosts:
        if host.name in gone:
            fleet.start(host)
    await anyio.sleep(LIMIT_S)


def events_table(rows):
    lines = [
        "| event | 99% of the changed entries right after (s) | B/s per daemon in 10 s | wrong "
        "after 20 s | replicas that move |",
        "| --- " * 5 + "|",
    ]
    for label, reached, rate, wrong, moved in rows:
        seconds = f"more than {2 * WINDOW_S:.0f}"
        if reached is not None:
            seconds = f"{reached:.0f}"
        lines.append(
            f"| {label} | {seconds} | {rate:,.0f} | {wrong:.2%} | {moved:.0f} |"
        )
    return "\n".join(lines) + "\n"


def main(argv):
    logger.remove()
    table = events_table(run_in_virtual_time(measure))
    print(table)
    if "--write-page" in argv:
        PAGE.write_text(replace_block(PAGE.read_text(), "events", table))


if __name__ == "__main__":
    main(sys.argv[1:])
