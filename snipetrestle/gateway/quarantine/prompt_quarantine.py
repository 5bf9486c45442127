"""Finds the parts of prompts that crash replicas, and tells which prompts to refuse.

A replica that crashes cuts off many streams, and each of their prompts may be the
cause. A part is suspected once it was in prompts that several replicas closed before
the first event, while no prompt with it was served since. Parts that crash nothing are
served again within a short time, on this host or on another. A replica that answers
later requests has not crashed.
"""

import collections
import math

import anyio

# Crashes after which a part counts as their cause, if no prompt with it was served as
# far as this host remembers, and if one was.
MIN_CRASHES = 3
MIN_CRASHES_IF_SERVED = 5
# Crashes after which a request with a suspected part is no longer retried.
MIN_CRASHES_TO_STOP_RETRIES = 2
# Replicas that end at the same time have a common cause outside of their requests.
SAME_TIME_S = 0.1
# Other hosts have this long to report that a part was served.
OBJECTION_TIME_S = 1.0
# A part without requests for this long is no longer refused.
FORGET_AFTER_S = 600.0
FORGET_INTERVAL_S = 5.0
# Other hosts may still report that a replica crashed, this long after it answered.
KEEP_ANSWERED_S = 30.0
# First pause before one request with a refused part is tried; it doubles by each
# further crash.
TRIAL_PAUSE_S = 30.0
TRIAL_PAUSE_IF_SERVED_S = 2.0
MAX_TRIAL_PAUSE_S = 600.0
# Limits on what is kept.
MAX_SERVED_PARTS = 4096
MAX_LOST_PROMPTS = 512
MAX_LOST_PROMPTS_PER_CRASH = 12
# Part of the lost prompts that is dropped when there are too many.
DROPPED_FRACTION = 0.25


class LostPrompt:
    """A prompt of which a replica closed the stream before its first event.

    ``crash`` identifies the process of the replica, and ``parts`` is a frozenset.
    ``learned_at`` is when this host learned of it.
    """

    __slots__ = ("crash", "parts", "lost_at", "learned_at")

    def __init__(self, crash, parts, lost_at, learned_at):
        self.crash = crash
        self.parts = parts
        self.lost_at = lost_at
        self.learned_at = learned_at


class Suspicion:
    """A set of parts that are suspected together, since they were lost together.

    ``crashes`` counts the crashes, and ``was_served`` tells whether a prompt with one
    of the parts was served before them. Prompts with all ``parts`` are refused from
    ``refused_from`` on; None if there are too few crashes.
    """

    __slots__ = ("parts", "crashes", "was_served", "last_lost_at", "refused_from")

    def __init__(self, parts, crashes, was_served, last_lost_at, refused_from):
        self.parts = parts
        self.crashes = crashes
        self.was_served = was_served
        self.last_lost_at = last_lost_at
        self.refused_from = refused_from

    @property
    def trial_pause_s(self):
        """Time without a crash after which one request is tried."""
        if self.was_served:
            pause_s = TRIAL_PAUSE_IF_SERVED_S * 2 ** (
                self.crashes - MIN_CRASHES_IF_SERVED
            )
        else:
            pause_s = TRIAL_PAUSE_S * 2 ** (self.crashes - MIN_CRASHES)
        return min(pause_s, MAX_TRIAL_PAUSE_S)


class PromptQuarantine:
    """What this host knows of lost and served prompts, and what follows from it.

    Prompts are given as their shared parts, in any order. Times are those of the event
    loop. ``on_change(refused)`` is called with the frozensets of parts that are refused
    together, whenever they change. ``requests`` is the RequestQuarantine, if there is
    one: a part is not suspected of crashes that a single request explains.
    """

    def __init__(self, on_change=None, requests=None):
        self._on_change = on_change
        self._requests = requests
        self._requests_version = 0
        self._lost_by_key = {}
        # The latest time at which a replica got a request that it answered, for those
        # that closed a stream.
        self._answering_at_by_crash = {}
        self._served_at_by_part = collections.OrderedDict()
        self._requested_at_by_part = {}
        self._trial_at_by_parts = {}
        self._suspicions = []
        # Those whose prompts are refused now, until ``_update_at``.
        self._refusing = []
        self._update_at = 0.0
        self._forgotten_at = 0.0
        self._newest_lost_at = 0.0

    # What happened to prompts.

    def note_lost(self, crash, parts):
        """Records that a replica closed a stream before its first event."""
        if parts:
            now = anyio.current_time()
            self.learn_lost(LostPrompt(crash, frozenset(parts), now, now))

    def note_served(self, parts):
        """Records that a prompt was answered completely."""
        now = anyio.current_time()
        for part in parts:
            self.learn_served(part, now)

    def note_answered(self, crash, sent_at):
        """Records that a replica's process began to answer a request of ``sent_at``."""
        if sent_at <= self._answering_at_by_crash.get(crash, math.inf):
            return
        self._answering_at_by_crash[crash] = sent_at
        disproved = [
            key
            for key, prompt in self._lost_by_key.items()
            if prompt.crash == crash and prompt.lost_at < sent_at
        ]
        for key in disproved:
            del self._lost_by_key[key]
            self._update_at = 0.0

    def learn_lost(self, prompt):
        """Takes a lost prompt from this or another host."""
        answering_at = self._answering_at_by_crash.setdefault(prompt.crash, 0.0)
        if prompt.lost_at < answering_at:
            return
        key = (prompt.crash, prompt.parts)
        known = self._lost_by_key.get(key)
        if known is not None:
            if prompt.learned_at < known.learned_at:
                known.learned_at = prompt.learned_at
                self._update_at = 0.0
            return
        if not self._makes_room(prompt):
            return
        self._lost_by_key[key] = prompt
        self._newest_lost_at = max(self._newest_lost_at, prompt.lost_at)
        self._update_at = 0.0

    def _makes_room(self, prompt):
        """Drops a less telling prompt if too many are kept; returns whether one may be
        added."""
        same_crash = [
            item for item in self._lost_by_key.values() if item.crash == prompt.crash
        ]
        if len(same_crash) >= MAX_LOST_PROMPTS_PER_CRASH:
            weakest = min(same_crash, key=self._unserved_parts)
            if self._unserved_parts(weakest) >= self._unserved_parts(prompt):
                return False
            del self._lost_by_key[(weakest.crash, weakest.parts)]
        elif len(self._lost_by_key) >= MAX_LOST_PROMPTS:
            self._drop_oldest()
        return True

    def _drop_oldest(self):
        """Drops the oldest prompts, those with refused parts last."""
        self._update(anyio.current_time())
        refused_parts = self._refused_parts()
        oldest_first = sorted(
            self._lost_by_key.items(),
            key=lambda item: (bool(item[1].parts & refused_parts), item[1].lost_at),
        )
        for key, _ in oldest_first[: round(MAX_LOST_PROMPTS * DROPPED_FRACTION)]:
            del self._lost_by_key[key]
        self._update_at = 0.0

    def _unserved_parts(self, prompt):
        return sum(part not in self._served_at_by_part for part in prompt.parts)

    def learn_served(self, part, served_at):
        """Takes the time at which a prompt with a part was served on some host."""
        known_at = self._served_at_by_part.get(part)
        if known_at is None or served_at > known_at:
            self._served_at_by_part[part] = served_at
        self._served_at_by_part.move_to_end(part)
        if len(self._served_at_by_part) > MAX_SERVED_PARTS:
            self._served_at_by_part.popitem(last=False)
        if known_at is None or known_at <= self._newest_lost_at:
            self._update_at = 0.0

    # What follows from it.

    def refuses(self, parts):
        """Tells whether a prompt must not be sent to a replica."""
        return bool(self._refusals(parts, anyio.current_time()))

    def note_requested(self, parts):
        """Records a request for a refused prompt, which keeps it from being forgotten."""
        now = anyio.current_time()
        for suspicion in self._refusals(parts, now):
            for part in suspicion.parts:
                self._requested_at_by_part[part] = now

    def starts_trial(self, parts):
        """Tells whether a refused prompt is to be sent once, to see if it crashes.

        Only one host may ask for this, so that there are few trials.
        """
        now = anyio.current_time()
        refusals = self._refusals(parts, now)
        if any(now < self._next_trial_at(suspicion) for suspicion in refusals):
            return False
        for suspicion in refusals:
            self._trial_at_by_parts[suspicion.parts] = now
        return True

    def _next_trial_at(self, suspicion):
        tried_at = self._trial_at_by_parts.get(suspicion.parts, 0.0)
        return max(suspicion.last_lost_at, tried_at) + suspicion.trial_pause_s

    def _refusals(self, parts, now):
        """Returns the suspicions for which a prompt is refused."""
        if not self._lost_by_key:
            return []
        self._update(now)
        return [item for item in self._refusing if item.parts.issubset(parts)]

    def forbids_retry(self, parts):
        """Tells whether a lost prompt must not be sent to another replica."""
        if not self._lost_by_key:
            return False
        self._update(anyio.current_time())
        return any(
            item.crashes >= MIN_CRASHES_TO_STOP_RETRIES and item.parts.issubset(parts)
            for item in self._suspicions
        )

    def _update(self, now):
        """Brings the suspicions up to date."""
        self._forget_old(now)
        if self._requests is not None:
            if self._requests.version != self._requests_version:
                self._update_at = 0.0
            self._requests_version = self._requests.version
        if now < self._update_at:
            return
        self._suspicions = self._find_suspicions()
        refused_before = self.refused
        starts = {
            item: item.refused_from
            for item in self._suspicions
            if item.refused_from is not None
        }
        self._refusing = [item for item, start in starts.items() if start <= now]
        self._update_at = min(
            (start for start in starts.values() if start > now), default=math.inf
        )
        if self._on_change is not None and self.refused != refused_before:
            self._on_change(self.refused)

    @property
    def refused(self):
        """The sets of parts that are refused together."""
        return {item.parts for item in self._refusing}

    def _refused_parts(self):
        return frozenset().union(*self.refused)

    def _find_suspicions(self):
        """Returns the Suspicions, the strongest ones first.

        A crash that one of them explains says nothing about other parts: while all
        replicas crash on one prompt, sound prompts are lost as often. Parts that were
        never served are suspected before those that were.
        """
        never_served, served = self._suspects_by_prompt()
        explained_crashes = set()
        if self._requests is not None:
            explained_crashes = self._requests.explained_crashes()
        suspicions = []
        for lost_prompts, was_served in ((never_served, False), (served, True)):
            for equal_parts in _strongest_first(lost_prompts):
                found = []
                for lost in equal_parts:
                    if self._one_request_explains(lost):
                        continue
                    unexplained = [
                        item for item in lost if item[0].crash not in explained_crashes
                    ]
                    if unexplained:
                        found.append((_suspicion(unexplained, was_served), lost))
                for suspicion, lost in found:
                    suspicions.append(suspicion)
                    if suspicion.refused_from is not None:
                        explained_crashes.update(prompt.crash for prompt, _ in lost)
        return suspicions

    def _one_request_explains(self, lost):
        """Tells whether one refused request was in all crashes of a part."""
        if self._requests is None:
            return False
        return self._requests.explains({prompt.crash for prompt, _ in lost})

    def _suspects_by_prompt(self):
        """Returns the lost prompts with parts that were never served, and the others.

        Each is (lost prompt, its suspected parts).
        """
        never_served, served = [], []
        for prompt in self._lost_by_key.values():
            served_at = {
                part: self._served_at_by_part.get(part) for part in prompt.parts
            }
            unknown = frozenset(part for part, at in served_at.items() if at is None)
            if unknown:
                never_served.append((prompt, unknown))
            before = frozenset(
                part
                for part, at in served_at.items()
                if at is not None and at <= prompt.lost_at
            )
            if before and not unknown:
                served.append((prompt, before))
        return never_served, served

    def _forget_old(self, now):
        if now < self._forgotten_at + FORGET_INTERVAL_S:
            return
        self._forgotten_at = now
        horizon = now - FORGET_AFTER_S
        old_keys = [
            key
            for key, prompt in self._lost_by_key.items()
            if prompt.lost_at < horizon
            and all(
                self._requested_at_by_part.get(part, 0.0) < horizon
                for part in prompt.parts
            )
        ]
        for key in old_keys:
            del self._lost_by_key[key]
            self._update_at = 0.0
        crashes = {prompt.crash for prompt in self._lost_by_key.values()}
        for crash in self._answering_at_by_crash.keys() - crashes:
            if self._answering_at_by_crash[crash] < now - KEEP_ANSWERED_S:
                del self._answering_at_by_crash[crash]
        if not self._lost_by_key:
            self._requested_at_by_part.clear()
            self._trial_at_by_parts.clear()

    # What other hosts are told.

    def telling_prompts(self, max_age_s, max_count):
        """Returns lost prompts from which other hosts can learn, the best ones first.

        These are those with refused parts, and others of the last ``max_age_s``.
        """
        if not self._lost_by_key:
            return []
        now = anyio.current_time()
        self._update(now)
        refused_parts = self._refused_parts()
        telling = [
            prompt
            for prompt in self._lost_by_key.values()
            if now - prompt.learned_at <= max_age_s or prompt.parts & refused_parts
        ]
        strength_by_part = {}
        for suspicion in self._suspicions:
            for part in suspicion.parts:
                known = strength_by_part.get(part, 0)
                strength_by_part[part] = max(known, suspicion.crashes)
        telling.sort(
            key=lambda prompt: (
                max(strength_by_part.get(part, 0) for part in prompt.parts),
                prompt.lost_at,
            ),
            reverse=True,
        )
        return telling[:max_count]

    def served_at_by_part(self, parts):
        """Returns when each of some parts was last served, as far as known."""
        return {
            part: self._served_at_by_part[part]
            for part in parts
            if part in self._served_at_by_part
        }


def _strongest_first(lost_prompts):
    """Returns groups of parts with equal evidence, those with the strongest first.

    Each part is given by its (lost prompt, suspected parts). A part that crashes
    replicas is in one kind of prompt, once for each crash. Common parts are in many
    kinds, which are lost by accident.
    """
    lost_by_part = collections.defaultdict(list)
    for item in lost_prompts:
        for part in item[1]:
            lost_by_part[part].append(item)
    parts_by_evidence = collections.defaultdict(list)
    for lost in lost_by_part.values():
        crashes = len({prompt.crash for prompt, _ in lost})
        evidence = (min(crashes, MIN_CRASHES), crashes / len(lost), crashes)
        parts_by_evidence[evidence].append(lost)
    return [parts_by_evidence[key] for key in sorted(parts_by_evidence, reverse=True)]


def _suspicion(lost, was_served):
    """Returns the Suspicion of a part that is suspected in lost prompts."""
    parts = frozenset.intersection(*(suspects for _, suspects in lost))
    first_by_crash = {}
    for prompt, _ in lost:
        known = first_by_crash.get(prompt.crash)
        if known is None or prompt.lost_at < known.lost_at:
            first_by_crash[prompt.crash] = prompt
    separate = []
    for prompt in sorted(first_by_crash.values(), key=lambda item: item.lost_at):
        if not separate or prompt.lost_at - separate[-1].lost_at >= SAME_TIME_S:
            separate.append(prompt)
    needed = MIN_CRASHES_IF_SERVED if was_served else MIN_CRASHES
    refused_from = None
    if len(separate) >= needed:
        learned_at = sorted(prompt.learned_at for prompt in separate)
        refused_from = learned_at[needed - 1] + OBJECTION_TIME_S
    return Suspicion(
        parts, len(separate), was_served, separate[-1].lost_at, refused_from
    )
