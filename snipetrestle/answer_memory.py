"""Bounds what the answers hold that are arriving from replicas.

A replica may send an answer without end. Answers that are small are always read. Large
ones wait while all together hold too much: their replicas cannot send on meanwhile.
"""

import collections

# Share of the memory for callers that answers may take.
ANSWERS_SHARE = 0.5
# Answers up to this size do not wait.
SMALL_ANSWER_BYTES = 65_536


class AnswerMemory:
    """Memory of all answers that are arriving, or are kept until a request ends.

    ``caller_memory`` is the CallerMemory that it counts towards.
    """

    def __init__(self, caller_memory):
        self._caller_memory = caller_memory
        self.held_bytes = 0
        # In the order in which they have become large. The first one never waits, so
        # that answers go on whatever the others hold.
        self._large = collections.OrderedDict()

    @property
    def is_full(self):
        return self.held_bytes > ANSWERS_SHARE * self._caller_memory.bound_bytes

    def begin(self):
        """Returns an ArrivingAnswer that holds nothing yet."""
        return ArrivingAnswer(self)

    def must_wait(self, answer):
        """Whether no more of an answer may be read now."""
        if answer not in self._large or not self.is_full:
            return False
        return next(iter(self._large)) is not answer

    def resize(self, answer, old_bytes, new_bytes):
        """Notes that an answer holds ``new_bytes`` instead of ``old_bytes``."""
        self.held_bytes += new_bytes - old_bytes
        self._caller_memory.resize(old_bytes, new_bytes)
        if new_bytes > SMALL_ANSWER_BYTES:
            self._large.setdefault(answer)
        if new_bytes < old_bytes:
            self._let_go_on()

    def end(self, answer):
        """Forgets an answer that holds nothing any more."""
        if answer in self._large:
            del self._large[answer]
            self._let_go_on()

    def _let_go_on(self):
        """Wakes those that no longer wait, the first ones first."""
        for answer in tuple(self._large):
            if self.must_wait(answer):
                return
            answer.go_on()


class ArrivingAnswer:
    """What one answer holds. ``on_room()``, if set, is called when it may be read on."""

    __slots__ = ("on_room", "_memory", "_body_bytes", "_buffered_bytes", "_held_bytes")

    def __init__(self, memory):
        self.on_room = None
        self._memory = memory
        self._body_bytes = 0
        self._buffered_bytes = 0
        self._held_bytes = 0

    def note_body(self, size):
        """Notes the bytes that were read, and are kept until the answer is complete."""
        self._body_bytes = size
        self._update()

    def note_buffered(self, size):
        """Notes the bytes that have arrived, and were not read yet."""
        self._buffered_bytes = size
        self._update()

    def _update(self):
        old_bytes = self._held_bytes
        self._held_bytes = self._body_bytes + self._buffered_bytes
        if self._held_bytes != old_bytes:
            self._memory.resize(self, old_bytes, self._held_bytes)

    @property
    def must_wait(self):
        return self._memory.must_wait(self)

    def go_on(self):
        if self.on_room is not None:
            self.on_room()

    def end(self):
        """Frees what the answer holds."""
        self.on_room = None
        self._body_bytes = self._buffered_bytes = 0
        self._update()
        self._memory.end(self)
