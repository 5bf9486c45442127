"""Fencing numbers and handle suffixes that identify ownership terms.

A fencing number is a counter followed by the random bits of the owner's incarnation.
Two daemons that read the same highest number at the same time therefore create
different numbers, and the engine refuses the lower one.
"""

import msgspec

# Low bits of a fencing number: the number of random bits in an incarnation.
_INCARNATION_BITS = 32
_INCARNATION_MASK = (1 << _INCARNATION_BITS) - 1


def next_fencing_number(highest, incarnation):
    """Returns the fencing number of a new term.

    It is above ``highest``, the highest number that the engine has seen.
    """
    counter = (highest >> _INCARNATION_BITS) + 1
    return (counter << _INCARNATION_BITS) | (incarnation.bits & _INCARNATION_MASK)


class HandleTerm(msgspec.Struct, frozen=True):
    """The ownership term that the suffix of a handle names."""

    suffix: str
    incarnation: str
    daemon_name: str


def handle_suffix(name, incarnation, term):
    """Returns the suffix of the handles that a daemon loads in one term.

    ``term`` is the number of the term within the daemon's incarnation, so a daemon that
    regains a replica does not reuse the handles of its earlier term.
    """
    return f"{incarnation}.{term}.{name}"


def parse_handle_term(handle):
    """Returns the HandleTerm of a handle, or None if the handle has no valid suffix."""
    _, separator, suffix = handle.partition("#")
    parts = suffix.split(".", 2)
    if not separator or len(parts) != 3:
        return None
    return HandleTerm(suffix, parts[0], parts[2])


def incarnation_number(text):
    """Returns the number in the text form of an incarnation, or None."""
    try:
        return int(text.partition("-")[0], 16)
    except ValueError:
        return None
