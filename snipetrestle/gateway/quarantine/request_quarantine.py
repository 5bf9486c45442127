"""Finds single requests that crash replicas, and tells which ones to refuse.

A replica that crashes cuts off many requests, and each of them may be the cause. One
that was in several crashes at separate moments, and was answered by no replica since,
is refused: sound requests rarely are, and few of them come again. Requests are known by
their fingerprints, so a repetition at another host is recognized.
"""

import collections
import math

import anyio

# Crashes after which a request counts as their cause, if it was never answered as far
# as this host remembers, and if it was.
MIN_CRASHES = 2
MIN_CRASHES_IF_SERVED = 3
# Replicas that end at the same time have a common cause outside of their requests.
SAME_TIME_S = 0.1
# Refused repetitions at this host after which a request is surely the cause of its
# crashes. Callers of sound requests give up earlier.
MIN_REPETITIONS = 3
# First pause before a refused request is tried; it doubles by each further crash.
TRIAL_PAUSE_S = 30.0
# A request with this many crashes is not tried again.
MAX_CRASHES_TO_TRY = 5
# A request that was not repeated for this long is no longer refused.
FORGET_AFTER_S = 600.0
FORGET_INTERVAL_S = 5.0
# Other hosts may still report that a replica crashed, this long after it answered.
KEEP_ANSWERED_S = 30.0
# Limits on what is kept.
MAX_LOST_REQUESTS = 2048
MAX_CRASHES_PER_REQUEST = 16
MAX_SERVED_REQUESTS = 4096


class LostRequest:
    """A request that replicas closed before their answer began.

    ``lost_at_by_crash`` has the time of each loss by the replica's process.
    ``changed_at`` is when this host last learned of one, ``requested_at`` when the
    request last came, and ``tried_at`` when it was last tried. ``refused`` tells
    whether it is refused, and ``repetitions`` counts how often it came since.
    """

    __slots__ = (
        "lost_at_by_crash",
        "changed_at",
        "requested_at",
        "tried_at",
        "refused",
        "repetitions",
    )

    def __init__(self):
        self.lost_at_by_crash = {}
        self.changed_at = 0.0
        self.requested_at = 0.0
        self.tried_at = 0.0
        self.refused = False
        self.repetitions = 0

    @property
    def last_lost_at(self):
        return max(self.lost_at_by_crash.values())

    def count_separate_crashes(self):
        """Returns the number of crashes, those at the same time as one."""
        count = 0
        counted_at = -math.inf
        for lost_at in sorted(self.lost_at_by_crash.values()):
            if lost_at - counted_at >= SAME_TIME_S:
                count += 1
                counted_at = lost_at
        return count


class ReplicaProcess:
    """A replica's process that may have crashed, and the requests that it lost.

    ``answering_at`` is the latest time of a request that it began to answer.
    """

    __slots__ = ("answering_at", "requests")

    def __init__(self):
        self.answering_at = 0.0
        self.requests = set()


class RequestQuarantine:
    """What this host knows of lost and answered requests, and what follows from it.

    Requests are given as fingerprints, and crashes as the ids of the replicas'
    processes. Times are those of the event loop. ``on_change(request, refused)`` is
    called when the refusal of a request begins or ends. ``on_news()`` is called, if it
    is set, when other hosts should soon hear of a loss or an answer.
    """

    def __init__(self, on_change=None):
        self._on_change = on_change
        self.on_news = None
        # Counts changes of what ``explains`` and ``explained_crashes`` tell.
        self.version = 0
        self._lost_by_request = collections.OrderedDict()
        self._process_by_crash = {}
        self._served_at_by_request = collections.OrderedDict()
        self._refused = set()
        self._forgotten_at = 0.0

    # What happened to requests.

    def note_lost(self, crash, request):
        """Records that a replica closed a request before its answer began."""
        if self.learn_lost(crash, request, anyio.current_time()):
            self._announce()

    def note_served(self, request):
        """Records that a replica began to answer a request."""
        was_refused = request in self._refused
        self.learn_served(request, anyio.current_time())
        if was_refused:
            self._announce()

    def _announce(self):
        if self.on_news is not None:
            self.on_news()

    def note_answered(self, crash, sent_at):
        """Records that a replica's process began to answer a request of ``sent_at``."""
        process = self._process_by_crash.get(crash)
        if process is None or sent_at <= process.answering_at:
            return
        process.answering_at = sent_at
        for request in list(process.requests):
            lost = self._lost_by_request[request]
            if lost.lost_at_by_crash[crash] < sent_at:
                self._remove_losses(request, [crash])

    def learn_lost(self, crash, request, lost_at):
        """Takes a loss from this or another host. Returns whether it was unknown."""
        self._forget_old()
        process = self._process_by_crash.get(crash)
        if process is None:
            process = self._process_by_crash[crash] = ReplicaProcess()
        served_at = self._served_at_by_request.get(request, -math.inf)
        if lost_at <= served_at or lost_at < process.answering_at:
            return False
        lost = self._lost_by_request.get(request)
        if lost is None:
            self._make_room()
            lost = self._lost_by_request[request] = LostRequest()
        known = lost.lost_at_by_crash
        if crash in known:
            return False
        if len(known) >= MAX_CRASHES_PER_REQUEST:
            self._remove_losses(request, [min(known, key=known.get)])
        known[crash] = lost_at
        process.requests.add(request)
        lost.changed_at = anyio.current_time()
        self._lost_by_request.move_to_end(request)
        self._reassess(request)
        return True

    def learn_served(self, request, served_at):
        """Takes the time at which an answer to a request began on some host."""
        known_at = self._served_at_by_request.get(request, -math.inf)
        self._served_at_by_request[request] = max(known_at, served_at)
        self._served_at_by_request.move_to_end(request)
        if len(self._served_at_by_request) > MAX_SERVED_REQUESTS:
            self._served_at_by_request.popitem(last=False)
        lost = self._lost_by_request.get(request)
        if lost is not None:
            crashes = [
                crash
                for crash, lost_at in lost.lost_at_by_crash.items()
                if lost_at <= served_at
            ]
            self._remove_losses(request, crashes)

    def _remove_losses(self, request, crashes):
        lost = self._lost_by_request[request]
        for crash in crashes:
            del lost.lost_at_by_crash[crash]
            self._process_by_crash[crash].requests.discard(request)
        self._reassess(request)
        if not lost.lost_at_by_crash:
            del self._lost_by_request[request]

    def _reassess(self, request):
        """Decides anew whether a request is refused."""
        lost = self._lost_by_request[request]
        refused = lost.count_separate_crashes() >= self._crashes_needed(request)
        if refused or lost.refused:
            self.version += 1
        if refused == lost.refused:
            return
        lost.refused = refused
        lost.repetitions = 0
        if refused:
            self._refused.add(request)
        else:
            self._refused.discard(request)
        if self._on_change is not None:
            self._on_change(request, refused)

    def _crashes_needed(self, request):
        was_served = request in self._served_at_by_request
        return MIN_CRASHES_IF_SERVED if was_served else MIN_CRASHES

    def _make_room(self):
        """Drops the oldest request if too many are kept, refused ones last."""
        if len(self._lost_by_request) < MAX_LOST_REQUESTS:
            return
        oldest = next(
            (item for item, lost in self._lost_by_request.items() if not lost.refused),
            next(iter(self._lost_by_request)),
        )
        self._drop(oldest)

    def _drop(self, request):
        self._remove_losses(
            request, list(self._lost_by_request[request].lost_at_by_crash)
        )

    def _forget_old(self):
        now = anyio.current_time()
        if now < self._forgotten_at + FORGET_INTERVAL_S:
            return
        self._forgotten_at = now
        old = [
            request
            for request, lost in self._lost_by_request.items()
            if max(lost.last_lost_at, lost.requested_at) < now - FORGET_AFTER_S
        ]
        for request in old:
            self._drop(request)
        ended = [
            crash
            for crash, process in self._process_by_crash.items()
            if not process.requests and process.answering_at < now - KEEP_ANSWERED_S
        ]
        for crash in ended:
            del self._process_by_crash[crash]

    # What follows from it.

    def refuses(self, request):
        """Tells whether a request must not be sent to a replica."""
        if request not in self._refused:
            return False
        self._forget_old()
        return request in self._refused

    def note_requested(self, request):
        """Records that a refused request came, which keeps it from being forgotten."""
        lost = self._lost_by_request.get(request)
        if lost is None:
            return
        lost.requested_at = anyio.current_time()
        if lost.refused:
            lost.repetitions += 1
            if lost.repetitions == MIN_REPETITIONS:
                self.version += 1

    def starts_trial(self, request):
        """Tells whether a refused request is to be sent once, to see if it crashes.

        Only one host may ask for this, so that there are few trials.
        """
        now = anyio.current_time()
        lost = self._lost_by_request[request]
        crashes = lost.count_separate_crashes()
        if crashes >= MAX_CRASHES_TO_TRY:
            return False
        pause_s = TRIAL_PAUSE_S * 2 ** (crashes - self._crashes_needed(request))
        if now < max(lost.last_lost_at, lost.tried_at) + pause_s:
            return False
        lost.tried_at = now
        return True

    def explains(self, crashes):
        """Tells whether one refused request was in all of some crashes."""
        return any(
            crashes <= self._lost_by_request[request].lost_at_by_crash.keys()
            for request in self._refused
        )

    def explained_crashes(self):
        """Returns the crashes of requests that are surely their cause."""
        requests = [self._lost_by_request[request] for request in self._refused]
        return {
            crash
            for lost in requests
            if lost.repetitions >= MIN_REPETITIONS
            for crash in lost.lost_at_by_crash
        }

    # What other hosts are told.

    def telling_requests(self, max_age_s, max_count):
        """Returns fingerprints of lost requests, those that others need most first.

        These are the refused ones and those with a loss of the last ``max_age_s``.
        """
        self._forget_old()
        since = anyio.current_time() - max_age_s
        telling = [
            (lost.refused, lost.changed_at, request)
            for request, lost in self._lost_by_request.items()
            if lost.refused or lost.changed_at >= since
        ]
        telling.sort(reverse=True)
        return [request for _, _, request in telling[:max_count]]

    def losses(self, request):
        """Returns the times at which a request was lost, by crash."""
        lost = self._lost_by_request.get(request)
        return {} if lost is None else lost.lost_at_by_crash

    def served_at(self, request):
        """Returns when an answer to a request last began; None if unknown."""
        return self._served_at_by_request.get(request)
