"""Streams that callers take up again, and how many of them go on."""

import collections

from snipetrestle.events import Event

# Rule (b) needs this many streams that are taken up again.
MIN_STREAMS = 12
# A taken-up stream must go on at least this part as often as new ones begin. New streams
# that begin leave no line, so all are taken to begin. A stream counts as one that goes on
# once a replica has accepted it, though it may break off before its next event.
MIN_GO_ON_SHARE = 0.5
# Length of the periods in which streams are counted, so that what goes well before or
# after does not hide a bad period.
PERIOD_S = 2.0
SHOWN_REQUESTS = 3


def take_up_report(log):
    """Returns the figures of a RunLog's taken-up streams, as plain data."""
    lines = log.of_event(Event.STREAM_TAKEN_UP)
    count, went_on = _count(lines)
    worst = _worst_period(lines)
    refused = [line for line in lines if line.fields["result"] != "accepted"]
    reasons = collections.Counter(line.fields["reason"] for line in refused)
    return {
        "streams": count,
        "went_on": went_on,
        "requests": len(lines),
        "worst": worst,
        "is_near_miss": worst is not None and worst["share"] < MIN_GO_ON_SHARE,
        "refused": dict(reasons.most_common()),
        "first_refused": [line.fields["request"] for line in refused[:SHOWN_REQUESTS]],
    }


def _worst_period(lines):
    """Returns the period with the smallest share of streams that went on, or None.

    Periods begin at each line; those with fewer than MIN_STREAMS do not count.
    """
    worst = None
    for first, line in enumerate(lines):
        end_s = line.at_s + PERIOD_S
        count, went_on = _count(item for item in lines[first:] if item.at_s < end_s)
        if count < MIN_STREAMS:
            continue
        share = went_on / count
        if worst is None or share < worst["share"]:
            worst = {
                "from_s": line.at_s,
                "streams": count,
                "went_on": went_on,
                "share": round(share, 3),
            }
    return worst


def _count(lines):
    """Returns (streams, streams that went on at least once) of EV-1446 lines."""
    streams = set()
    went_on = set()
    for line in lines:
        # Callers without the name of the stream cannot be told to be the same.
        stream = line.fields.get("began_as") or line.fields["request"]
        streams.add(stream)
        if line.fields["result"] == "accepted":
            went_on.add(stream)
    return len(streams), len(went_on)
