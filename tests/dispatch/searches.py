"""A ReplicaSearch with fakes around it, and the jobs that it searches for."""

import types

import anyio

from snipetrestle.coordination.placement.locator import Locator
from snipetrestle.dispatch.replica_search import ReplicaSearch
from snipetrestle.gateway.configuration import RequestKind

BACKEND = "models"
TARGET_LATENCY_S = 0.6


class Leadership:
    """Fake in which this host leads."""

    leads = True
    has_recent_leader = True
    term = 1


class NoLeadership:
    """Fake in which this host knows no leader."""

    leads = False
    has_recent_leader = False
    term = 1

    def leader_address(self):
        return None


class Endpoint:
    def register(self, message_type, handler):
        pass


class NoPermits:
    """Fake in which no replica with a request limit may be sent to soon."""

    async def acquire(self, replicas, max_wait_s, is_optional=False):
        return None, 5.0

    def may_be_spare(self, replica):
        return True


class NoDispatch:
    """Fake in which no backend is crowded."""

    def must_ask(self, backend):
        return False


def build_search(directory, locate_here, leadership=None, published_ids=()):
    """Returns (ReplicaSearch, its Locator) over a ReplicaDirectory.

    ``locate_here`` answers the lookups of adapters while this host leads, as it does
    without a ``leadership``. The entries of ``published_ids`` list all adapters.
    """
    locator = Locator(
        leadership or Leadership(),
        Endpoint(),
        "entry-1",
        locate_here,
        lambda key: published_ids,
        lambda replica_id, load: None,
    )
    search = ReplicaSearch(
        types.SimpleNamespace(
            state=types.SimpleNamespace(versions_by_adapter={}),
            replicas=directory,
            locator=locator,
            send_permits=NoPermits(),
            dispatch_permits=NoDispatch(),
            hosts=types.SimpleNamespace(max_known=1),
        )
    )
    return search, locator


def make_job(adapter=None, **attributes):
    """Returns a stand-in for the Job of a new stream, with what a search reads of it.

    ``adapter`` is the AdapterKey of its request.
    """
    now = anyio.current_time()
    fields = {
        "metadata": types.SimpleNamespace(adapter=adapter),
        "request": types.SimpleNamespace(received_at=now),
        "route": types.SimpleNamespace(
            target_latency_s=TARGET_LATENCY_S,
            kind=RequestKind.STREAM,
            resumable=True,
        ),
        "backend": types.SimpleNamespace(name=BACKEND, serves_models=True),
        "deadline_at": now + 5.0,
        "refusal_due_at": now + 4.9,
        "latest_send_at": now + 4.9,
        "scope": anyio.CancelScope(deadline=now + 4.9),
        "may_have_run": False,
        "has_attempts_left": True,
        "origin": None,
        "take_up": None,
        "streaming": False,
        "last_event_id": None,
        "sent_to": [],
        "may_have_run_on": [],
        "adapter_missing_on": [],
        "dropped_on": set(),
        "version": None,
        "place_search_at": None,
        "limit_wait_s": 0.0,
        "may_be_sent_to": lambda replica: True,
        "may_go_on_at": lambda replica: True,
    }
    return types.SimpleNamespace(**{**fields, **attributes})
