"""Queue order, fairness between customers, batch grouping and ageing."""

from snipetrestle.scheduling.request_queue import QueueEntry, RequestQueue

__all__ = ["QueueEntry", "RequestQueue"]
