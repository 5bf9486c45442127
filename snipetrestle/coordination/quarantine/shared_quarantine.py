"""Exchange of lost and served prompts between the hosts, beside their heartbeats.

Each host repeats what it heard, so that reports pass through the leader to hosts that
send their heartbeats only to it, and reach hosts that start later. Reports have their
own datagrams: their length depends on callers' prompts, and a heartbeat must arrive.
"""

import anyio

from snipetrestle.coordination.messaging.messages import (
    LostPromptReport,
    LostPrompts,
    encode,
)
from snipetrestle.coordination.messaging.report_rounds import ReportRounds, split
from snipetrestle.gateway.quarantine.prompt_quarantine import (
    MAX_LOST_PROMPTS,
    OBJECTION_TIME_S,
    LostPrompt,
)

# A new report is repeated for this long, since datagrams may be lost.
REPORT_TIME_S = 3.0
# The reports of one datagram; a single report may be longer.
DATAGRAM_BYTES = 8192
# Reports beyond this size wait for the next round of heartbeats.
MAX_ROUND_BYTES = 2 * DATAGRAM_BYTES


class SharedQuarantine:
    """Reports the prompts of this host's PromptQuarantine, and learns from others."""

    def __init__(self, quarantine, hosts, endpoint):
        self._quarantine = quarantine
        self._endpoint = endpoint
        self._rounds = ReportRounds(
            MAX_ROUND_BYTES, new_first=True, size_of=_size_bytes
        )
        hosts.on_round(self._send_round)
        endpoint.register(LostPrompts, self._on_lost_prompts)

    def _send_round(self, addresses):
        """Sends the reports beside a round of heartbeats, in turns if they are many."""
        reports = self._lost_prompts()
        if not reports or not addresses:
            return
        for part in split(self._rounds.choose(reports), DATAGRAM_BYTES, _size_bytes):
            message = LostPrompts(tuple(part), self._served_ages_s(part))
            self._endpoint.send_all(message, addresses)

    def _lost_prompts(self):
        """Returns the LostPromptReports to send by prompt, the best ones first."""
        now = anyio.current_time()
        prompts = self._quarantine.telling_prompts(REPORT_TIME_S, MAX_LOST_PROMPTS)
        return {
            (prompt.crash, prompt.parts): LostPromptReport(
                prompt.crash,
                tuple(prompt.parts),
                now - prompt.lost_at,
                self._quarantine.refuses(prompt.parts),
            )
            for prompt in prompts
        }

    def _served_ages_s(self, reports):
        """Returns for the parts in reports how long ago they were last served."""
        now = anyio.current_time()
        parts = {part for report in reports for part in report.parts}
        return {
            part: now - served_at
            for part, served_at in self._quarantine.served_at_by_part(parts).items()
        }

    def _on_lost_prompts(self, message, address):
        now = anyio.current_time()
        for part, age_s in message.served_ages_s.items():
            self._quarantine.learn_served(part, now - age_s)
        for report in message.prompts:
            lost_at = now - report.age_s
            # A confirmed report needs no further time for objections.
            learned_at = now - OBJECTION_TIME_S if report.confirmed else now
            self._quarantine.learn_lost(
                LostPrompt(report.crash, frozenset(report.parts), lost_at, learned_at)
            )


def _size_bytes(report):
    """Returns the most that a report, with the ages of its parts, adds to a message."""
    return len(encode(report)) + len(encode(dict.fromkeys(report.parts, 0.1)))
