"""What a gateway asks about requests and prompts that crash replicas.

A whole request is judged before the parts of its prompt, as it is the closer cause.
"""

from snipetrestle.gateway.quarantine.prompt_quarantine import PromptQuarantine
from snipetrestle.gateway.quarantine.request_quarantine import RequestQuarantine


class CrashQuarantine:
    """The quarantine of single requests and that of prompt parts, for Jobs."""

    def __init__(self, on_prompts_change=None, on_request_change=None):
        self.requests = RequestQuarantine(on_request_change)
        self.prompts = PromptQuarantine(on_prompts_change, self.requests)

    def note_lost(self, crash, job):
        """Records that a replica closed a job's request before its answer began."""
        self.requests.note_lost(crash, job.fingerprint)
        self.prompts.note_lost(crash, job.metadata.shared_prompt_parts)

    def note_answered(self, crash, sent_at, job):
        """Records that a replica began to answer a job's attempt of ``sent_at``."""
        self.requests.note_answered(crash, sent_at)
        self.requests.note_served(job.fingerprint)
        self.prompts.note_answered(crash, sent_at)

    def note_served(self, job):
        """Records that a job's request was answered completely."""
        self.prompts.note_served(job.metadata.shared_prompt_parts)

    def refuses(self, job):
        """Tells whether a job's request must not be sent to a replica."""
        return self.requests.refuses(job.fingerprint) or self.prompts.refuses(
            job.metadata.shared_prompt_parts
        )

    def forbids_retry(self, job):
        """Tells whether a lost request must not be sent to another replica."""
        return self.requests.refuses(job.fingerprint) or self.prompts.forbids_retry(
            job.metadata.shared_prompt_parts
        )

    def note_requested(self, job):
        """Records that a refused request came, which keeps it from being forgotten."""
        self.requests.note_requested(job.fingerprint)
        self.prompts.note_requested(job.metadata.shared_prompt_parts)

    def starts_trial(self, job):
        """Tells whether a refused request is to be sent once, to see if it crashes."""
        if self.requests.refuses(job.fingerprint):
            return self.requests.starts_trial(job.fingerprint)
        return self.prompts.starts_trial(job.metadata.shared_prompt_parts)
