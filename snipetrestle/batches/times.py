"""Intervals and timeouts of batches."""

import msgspec


class BatchTimes(msgspec.Struct, frozen=True):
    """Intervals and timeouts of batches, in seconds.

    A holder that is silent for ``silence_timeout_s`` is replaced even if it may only be
    paused, since a false suspicion only makes items run twice.
    """

    check_interval_s: float = 1.0
    update_interval_s: float = 5.0
    silence_timeout_s: float = 10.0
    call_timeout_s: float = 2.0
    submit_timeout_s: float = 10.0
    # Finished batches are kept at both holders for this long.
    result_retention_s: float = 86_400.0
    # This long after the end time of a batch, an item that fails is not retried any
    # more.
    overdue_limit_s: float = 86_400.0
    first_retry_pause_s: float = 0.5
    max_retry_pause_s: float = 5.0
