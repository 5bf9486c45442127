"""Streams that their callers take up: which software version began each of them.

The caller's connection broke, and its new request may have come to any host. Only a
replica of the version that began the stream may go on with it. A host that cannot find
out which one that was refuses the request, since replicas would not notice a mistake.
"""

from snipetrestle.codes import ResultCode
from snipetrestle.events import Event
from snipetrestle.gateway.job import Refused
from snipetrestle.gateway.streams.stream_origin import stream_key

# A stream may be taken up for at least this long, whatever its route's timeout is now:
# the timeout may have been longer when the stream began.
MIN_STREAM_LIFE_S = 15.0
# Callers that name longer deadlines may find their streams forgotten.
MAX_STREAM_LIFE_S = 120.0
# Bounds the routes whose longest deadlines are kept.
MAX_ROUTES = 4096
ONLY_VERSION = "only version"
KEPT_PROMPT = "kept prompt"
NOBODY = "nobody"


class TakeUp:
    """One taken-up stream: the request that began it, and who knew its version."""

    __slots__ = ("began_as", "known_by", "is_logged")

    def __init__(self, began_as):
        self.began_as = began_as
        self.known_by = NOBODY
        self.is_logged = False


class TakeUps:
    """Finds the origins of streams, and logs what becomes of each taken-up stream.

    ``records`` is the StreamRecords, ``history`` the VersionHistory, ``kept_prompts``
    the KeptPromptQuestions, ``state`` the PublishedState with the backends, and ``log``
    the RequestLines for these lines.
    """

    def __init__(self, records, history, kept_prompts, state, metrics, log):
        self._records = records
        self._kept_prompts = kept_prompts
        self._state = state
        self._history = history
        self._metrics = metrics
        self._log = log
        self._longest_deadline_by_route = {}

    def note_begun(self, job):
        """Tells other hosts the origin of a stream, before its first event is sent."""
        if job.route.resumable and job.take_up is None:
            key = _key_of(job, job.metadata.request_id)
            self._records.note_begun(key, job.origin, self._life_s(job))

    async def resolve(self, job):
        """Sets the origin of a stream that is taken up. Raises Refused if unknown."""
        metadata = job.metadata
        if metadata.last_event_id is None:
            self._note_deadline(job)
            return
        job.take_up = TakeUp(metadata.resumes)
        origin = await self._find(job)
        if origin is None:
            raise Refused(
                ResultCode.STREAM_NOT_RESUMABLE,
                reason="the software version that began the stream is not known",
            )
        job.origin = origin
        self._use_backend(job, origin.backend)

    async def _find(self, job):
        """Returns the StreamOrigin of a stream, None if nobody can tell."""
        began_as = job.take_up.began_as
        if began_as is not None:
            known = await self._records.find(_key_of(job, began_as))
            if known is not None:
                job.take_up.known_by = known.known_by
                return known.origin
        if len(job.route.backends) > 1:
            return None
        origin = await self._infer(job)
        if origin is not None and began_as is not None:
            key = _key_of(job, began_as)
            self._records.note_inferred(key, origin, self._life_s(job))
        return origin

    async def _infer(self, job):
        """Returns the only StreamOrigin that a stream without a record can have."""
        backend = job.backend.name
        age_s = self._longest_age_s(job)
        if age_s is not None:
            origin = await self._history.only_origin(backend, age_s)
            if origin is not None:
                job.take_up.known_by = ONLY_VERSION
                return origin
        adapter, part = job.metadata.adapter, job.metadata.own_prompt_part
        if adapter is None or part is None:
            return None
        origin = await self._kept_prompts.only_origin(
            backend, adapter, part, job.refusal_due_at
        )
        if origin is not None:
            job.take_up.known_by = KEPT_PROMPT
        return origin

    def _use_backend(self, job, name):
        """Sends a job to the backend that began its stream. Raises Refused."""
        if job.backend.name == name:
            return
        backend = self._state.backends_by_name.get(name)
        if backend is None or all(item.name != name for item in job.route.backends):
            raise Refused(
                ResultCode.STREAM_NOT_RESUMABLE,
                reason="the route leads no more to the backend that began the stream",
            )
        job.backend = backend

    def _note_deadline(self, job):
        """Keeps the longest deadline that callers of a route name at first."""
        deadline_s = job.metadata.deadline_s
        if deadline_s is None:
            return
        by_route = self._longest_deadline_by_route
        if deadline_s > by_route.get(job.route.name, 0.0):
            if len(by_route) >= MAX_ROUTES:
                by_route.clear()
            by_route[job.route.name] = deadline_s

    def _life_s(self, job):
        """Returns for how long after its first event a stream may be taken up.

        A caller goes on until its deadline, which may outlast several attempts.
        """
        longest_s = self._longest_deadline_by_route.get(job.route.name, 0.0)
        life_s = max(longest_s, job.route.timeout_s, MIN_STREAM_LIFE_S)
        return min(life_s, MAX_STREAM_LIFE_S)

    def _longest_age_s(self, job):
        """Returns how long ago the request that began a stream was sent at most.

        Callers name the time that is left of their deadlines. Returns None if nothing
        tells how long the deadline was.
        """
        life_s, left_s = self._life_s(job), job.metadata.deadline_s
        if left_s is None:
            # The first event may have come long after the request.
            return life_s + job.route.timeout_s
        return life_s - left_s if left_s < life_s < MAX_STREAM_LIFE_S else None

    def note_accepted(self, job, replica):
        """Logs and counts a stream that a replica goes on with."""
        self._note_result(job, "accepted", replica=replica.id)

    def note_refused(self, job, refusal):
        """Logs and counts a stream that no replica goes on with."""
        reason = refusal.fields.get("reason", str(refusal))
        self._note_result(job, "refused", code=str(refusal.code), reason=reason)

    def _note_result(self, job, result, **fields):
        take_up = job.take_up
        if take_up is None or take_up.is_logged:
            return
        take_up.is_logged = True
        self._metrics.count_take_up(take_up.known_by, result)
        began_as = take_up.began_as
        self._log.log(
            Event.STREAM_TAKEN_UP,
            request=job.request_id,
            began_as=None if began_as is None else began_as.decode("latin-1"),
            route=job.route.name,
            last_event_id=job.metadata.last_event_id,
            software_version=None if job.origin is None else job.origin.version,
            known_by=take_up.known_by,
            deadline_s=job.metadata.deadline_s,
            result=result,
            **fields,
        )


def _key_of(job, request_id):
    tenant_name = "" if job.tenant is None else job.tenant.name
    return stream_key(request_id, job.fingerprint, tenant_name)
