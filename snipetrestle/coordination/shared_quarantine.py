"""Exchange of lost and served prompts between the hosts, in their heartbeats.

Each host repeats what it heard, so that reports pass through the leader to hosts that
send their heartbeats only to it, and reach hosts that start later.
"""

import anyio

from snipetrestle.coordination.messages import LostPromptReport
from snipetrestle.gateway.prompt_quarantine import OBJECTION_TIME_S, LostPrompt

# A new report is repeated for this long, since datagrams may be lost.
REPORT_TIME_S = 3.0
MAX_REPORTED_PROMPTS = 32


class SharedQuarantine:
    """Reports the prompts of this host's PromptQuarantine, and learns from others."""

    def __init__(self, quarantine, hosts):
        self._quarantine = quarantine
        hosts.on_heartbeat(self._on_heartbeat)

    def lost_prompts(self):
        """Returns the LostPromptReports of the next heartbeat."""
        now = anyio.current_time()
        prompts = self._quarantine.telling_prompts(REPORT_TIME_S, MAX_REPORTED_PROMPTS)
        return tuple(
            LostPromptReport(
                prompt.crash,
                tuple(prompt.parts),
                now - prompt.lost_at,
                self._quarantine.refuses(prompt.parts),
            )
            for prompt in prompts
        )

    def served_ages_s(self, reports):
        """Returns for the parts in reports how long ago they were last served."""
        now = anyio.current_time()
        parts = {part for report in reports for part in report.parts}
        return {
            part: now - served_at
            for part, served_at in self._quarantine.served_at_by_part(parts).items()
        }

    def _on_heartbeat(self, heartbeat):
        now = anyio.current_time()
        for part, age_s in heartbeat.served_ages_s.items():
            self._quarantine.learn_served(part, now - age_s)
        for report in heartbeat.lost_prompts:
            lost_at = now - report.age_s
            # A confirmed report needs no further time for objections.
            learned_at = now - OBJECTION_TIME_S if report.confirmed else now
            self._quarantine.learn_lost(
                LostPrompt(report.crash, frozenset(report.parts), lost_at, learned_at)
            )
