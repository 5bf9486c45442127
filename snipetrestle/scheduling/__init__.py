"""Order of queued requests: fairness between customers, and batch grouping."""

from snipetrestle.scheduling.request_queue import QueueEntry, RequestQueue

__all__ = ["QueueEntry", "RequestQueue"]
