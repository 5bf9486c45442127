"""Exchange of requests that crash replicas between the hosts, in their own datagrams.

A loss is told at once, since its caller may repeat the request at another host within
milliseconds. Hosts tell it to each other, or among many, to the leader, which tells it
to all. The leader keeps repeating what is refused, and a host that starts is told at
its first heartbeat. What does not fit in the datagrams of one time comes at the next.
"""

import asyncio

from snipetrestle.coordination.messaging.messages import CrashReport, LostRequests
from snipetrestle.coordination.messaging.report_rounds import ReportRounds, split

# A crash cuts off many requests within this time, which are told together.
GATHER_TIME_S = 0.02
MIN_INTERVAL_S = 0.1
# The same among many hosts, where the leader sends to each of them.
MIN_INTERVAL_LARGE_S = 0.3
# How often a recent loss is repeated, since datagrams may be lost, and for how long.
REPEAT_INTERVAL_S = 0.5
REPEAT_TIME_S = 3.0
# How often hosts that do not lead repeat what is refused.
REMINDER_INTERVAL_S = 2.0
MAX_REPORTED_REQUESTS = 128
# The reports of one datagram, and of all that are sent at one time.
DATAGRAM_BYTES = 8192
MAX_ROUND_BYTES = 2 * DATAGRAM_BYTES


class SharedRequestQuarantine:
    """Tells others what this host's RequestQuarantine knows, and learns from them."""

    def __init__(self, quarantine, hosts, leadership, endpoint):
        self._quarantine = quarantine
        self._hosts = hosts
        self._leadership = leadership
        self._endpoint = endpoint
        self._loop = asyncio.get_running_loop()
        self._timer = None
        self._sent_at = 0.0
        self._repeat_until = 0.0
        # Until when others are told that requests were answered here.
        self._objections = {}
        self._rounds = _new_rounds()
        # The latest known processes of the other hosts, by name.
        self._boot_by_name = {}
        hosts.on_heartbeat(self._on_heartbeat)
        quarantine.on_news = self._on_news
        endpoint.register(LostRequests, self._on_lost_requests)

    def _on_news(self):
        now = self._loop.time()
        self._repeat_until = now + REPEAT_TIME_S
        interval_s = MIN_INTERVAL_LARGE_S if self._hosts.is_large else MIN_INTERVAL_S
        self._send_at(max(now + GATHER_TIME_S, self._sent_at + interval_s))

    def _send_at(self, time):
        """Sends at a time, unless that happens earlier anyway."""
        if self._timer is not None:
            if self._timer.when() <= time:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(time, self._send)

    def _send(self):
        self._timer = None
        messages = self._messages(self._rounds)
        if not messages:
            return
        self._sent_at = self._loop.time()
        receivers = self._receivers()
        for message in messages:
            self._endpoint.send_all(message, receivers)
        self._send_at(self._sent_at + self._interval_s())

    def _interval_s(self):
        if self._leadership.leads or self._sent_at < self._repeat_until:
            return REPEAT_INTERVAL_S
        return REMINDER_INTERVAL_S

    def _receivers(self):
        """Returns the addresses of the hosts to tell."""
        hosts = self._hosts
        leader = hosts.by_name.get(self._leadership.leader)
        knows_leader = leader is not None and self._leadership.has_recent_leader
        if hosts.is_large and knows_leader and not self._leadership.leads:
            return [leader.address]
        return [host.address for host in hosts.by_name.values()]

    def _messages(self, rounds):
        """Returns the LostRequests to send; ``rounds`` chooses among many reports."""
        now = self._loop.time()
        self._objections = {
            request: until for request, until in self._objections.items() if until > now
        }
        messages = []
        for part in split(rounds.choose(self._crash_reports()), DATAGRAM_BYTES):
            requests = [request for report in part for request in report.requests]
            messages.append(self._message(part, requests))
        told = {request for item in messages for request in item.served_ages_s}
        others = [request for request in self._objections if request not in told]
        if others:
            messages.append(self._message((), others))
        return messages

    def _crash_reports(self):
        """Returns CrashReports by crash and time, those that others need most first."""
        now = self._loop.time()
        quarantine = self._quarantine
        requests = quarantine.telling_requests(REPEAT_TIME_S, MAX_REPORTED_REQUESTS)
        requests_by_loss = {}
        for request in requests:
            for crash, lost_at in quarantine.losses(request).items():
                requests_by_loss.setdefault((crash, lost_at), []).append(request)
        return {
            loss: CrashReport(loss[0], now - loss[1], tuple(lost))
            for loss, lost in requests_by_loss.items()
        }

    def _message(self, reports, requests):
        """Returns LostRequests that tell when some requests were last answered."""
        now = self._loop.time()
        served_at = {
            request: self._quarantine.served_at(request) for request in requests
        }
        served_ages_s = {
            request: max(0.0, now - at)
            for request, at in served_at.items()
            if at is not None
        }
        return LostRequests(self._hosts.own.name, tuple(reports), served_ages_s)

    def _on_heartbeat(self, heartbeat):
        """Tells a host that has just started what is refused."""
        sender = heartbeat.sender
        if self._boot_by_name.get(sender.name) == sender.boot:
            return
        if sender.name not in self._boot_by_name:
            self._forget_removed_hosts()
        self._boot_by_name[sender.name] = sender.boot
        for message in self._messages(_new_rounds()):
            if message.crashes:
                self._endpoint.send(message, (sender.ip, sender.port))

    def _forget_removed_hosts(self):
        for name in self._boot_by_name.keys() - self._hosts.by_name.keys():
            del self._boot_by_name[name]

    def _on_lost_requests(self, message, address):
        now = self._loop.time()
        for request, age_s in message.served_ages_s.items():
            self._quarantine.learn_served(request, now - age_s)
        is_new = False
        for report in message.crashes:
            for request in report.requests:
                lost_at = now - report.age_s
                if self._quarantine.learn_lost(report.crash, request, lost_at):
                    is_new = True
                self._object_if_served(request, message.served_ages_s)
        if is_new and self._leadership.leads:
            self._on_news()
        elif message.crashes:
            self._send_at(now + REMINDER_INTERVAL_S)

    def _object_if_served(self, request, served_ages_s):
        """Tells others of a later answer than they know of."""
        served_at = self._quarantine.served_at(request)
        if served_at is None or len(self._objections) >= MAX_REPORTED_REQUESTS:
            return
        now = self._loop.time()
        known_age_s = served_ages_s.get(request)
        if known_age_s is not None and now - known_age_s >= served_at - MIN_INTERVAL_S:
            return
        self._objections[request] = now + REPEAT_TIME_S
        self._on_news()


def _new_rounds():
    # Others must learn of a loss before the request is repeated at them.
    return ReportRounds(MAX_ROUND_BYTES, new_first=True)
