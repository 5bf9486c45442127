"""Fields of log lines that tell how far a request had come when it ended.

EV-1404 and EV-1437 share them, so that one line is enough to see why it ended.
"""

import anyio


def request_fields(job):
    """Returns the fields about a request's route, its replicas and its replacement."""
    route = job.route
    after_s = anyio.current_time() - job.request.received_at
    return {
        "route": route.name,
        "kind": str(route.kind),
        "resumable": route.resumable,
        "timeout_ms": round(route.timeout_s * 1000),
        "after_ms": round(after_s * 1000),
        "sent_to": list(job.sent_to),
        "last_heard_ms": optional_ms(job.last_heard_s()),
        "last_event_id": job.last_event_id,
        "replacement": job.replacement_state,
        "replacement_dropped": job.replacement_dropped,
    }


def configuration_fields(state):
    """Returns the fields about the configuration in force of a PublishedState."""
    if state.configuration is None:
        return {"configuration": None}
    age_s = anyio.current_time() - state.configuration_applied_at
    return {
        "configuration": state.configuration.version,
        "configuration_age_ms": round(age_s * 1000),
        "configuration_apply_ms": round(state.configuration_apply_s * 1000),
    }


def optional_ms(duration_s):
    """Returns a duration in whole milliseconds, None for None."""
    return None if duration_s is None else round(duration_s * 1000)
