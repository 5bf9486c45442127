"""Runs non-idempotent writes: claim the key, call the service, record the outcome.

The daemon that receives a caller's request (the entry) forwards it to the key's
coordinator, the first daemon in the key's rendezvous order. Only the daemon incarnation
whose claim has the votes of a majority of the key's keepers calls the service for that
key, and it does so once. Membership views and timeouts decide where a request goes and
how long it waits, never whether a write runs again.
"""

import itertools

import anyio
import msgspec

from snipetrestle.codes import Outcome, ResultCode, ServingError
from snipetrestle.events import Event, log_event
from snipetrestle.hashing import rendezvous_order
from snipetrestle.peers.transport import PeerUnreachable
from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceCall,
    ServiceUnreachable,
)
from snipetrestle.writes.asking import KeeperClient
from snipetrestle.writes.groups import PARTITION_COUNT, GroupLayout, consistent_replies
from snipetrestle.writes.messages import (
    AskClaimant,
    ClaimantState,
    ClaimState,
    ClaimWrite,
    RunWrite,
    WithdrawClaim,
    WriteAnswer,
)
from snipetrestle.writes.outcomes import OutcomeRegister
from snipetrestle.writes.records import (
    Claim,
    OutcomeKind,
    WriteOutcome,
    digest_of,
)

# The write carries the first number. The lookup that resolves an unknown outcome
# carries the second, after which the service refuses the write if it arrives late. No
# write is ever sent with the second number.
WRITE_FENCING_NUMBER = 1
LOOKUP_FENCING_NUMBER = 2

# A coordinator or claimant replies within this time, if only to say that the write is
# in progress, so that the caller soon notices one that is paused.
REPLY_WAIT_S = 1.0
# Extra time of a call beyond the wait of its receiver, for the network delay.
REPLY_MARGIN_S = 1.0
MAX_COORDINATORS_TRIED = 3
# Fraction of the caller's remaining time that a coordinator may use; the rest is for
# the way back.
COORDINATOR_TIME_FRACTION = 0.8
# With less time left no coordinator is called again.
MIN_TIME_LEFT_S = 0.05
MAX_KEY_LENGTH = 255
# Attempts in progress, each with its request body.
MAX_ATTEMPTS_IN_PROGRESS = 10_000
# Won claims of this daemon whose outcome is not recorded. Each takes 74 bytes (measured
# over 100,000). They must not be forgotten, so beyond the limit new writes are refused.
MAX_UNRESOLVED_CLAIMS = 100_000
# Claims of different daemons may split the votes; then all withdraw and claim again.
MAX_CLAIM_ROUNDS = 6
CLAIM_BACKOFF_S = 0.02
# A call to a service that refuses connections is repeated, since nothing was sent.
CONNECT_RETRY_INTERVAL_S = 0.2
# How often, and at which interval, a claimant tries to record an outcome in the
# background before it waits for a retry of the caller.
MAX_RECORD_ATTEMPTS = 30
RECORD_RETRY_INTERVAL_S = 2.0
# Extra time for an answer that arrives just after the service's own timeout.
SERVICE_TIMEOUT_MARGIN_S = 0.5


class WriteRequest(msgspec.Struct, frozen=True):
    """One write of a caller. ``time_left_s`` is the time in seconds until it gives up.

    ``key`` is the caller's idempotency key.
    """

    customer: str
    service: str
    operation: str
    key: str
    body: bytes
    content_type: str
    time_left_s: float


class WriteResult(msgspec.Struct, frozen=True):
    """The service's answer to a write that ran. ``status`` is the HTTP status."""

    status: int
    content_type: str
    body: bytes


class _Attempt:
    """State of the work of one daemon on the write of one key."""

    __slots__ = (
        "request",
        "operation",
        "key_id",
        "digest",
        "group",
        "claim",
        "claim_won",
        "service_outcome",
        "outcome",
        "error",
        "finished",
    )

    def __init__(self, request, operation, key_id, digest, group):
        self.request = request
        self.operation = operation
        self.key_id = key_id
        self.digest = digest
        self.group = group
        self.claim = None
        # True once the claim has a majority of votes; from then on it is never
        # withdrawn.
        self.claim_won = False
        # Outcome of the service call. It becomes ``outcome`` once a majority has
        # recorded it, unless the keepers hold another one.
        self.service_outcome = None
        self.outcome = None
        self.error = None
        self.finished = anyio.Event()

    def final_outcome(self):
        """Returns the final outcome or raises the error."""
        if self.outcome is not None:
            return self.outcome
        raise self.error


class WriteCoordinator:
    """Runs writes of this daemon's callers, and writes that other daemons forward.

    ``apply`` takes the published configuration, ``run`` hosts the tasks of attempts
    until cancelled, and ``run_write`` serves a caller's write. ``random`` is a seeded
    generator.
    """

    def __init__(
        self,
        transport,
        router,
        membership,
        services,
        random,
        partition_count=PARTITION_COUNT,
    ):
        self._transport = transport
        self._membership = membership
        self._services = services
        self._random = random
        self._partition_count = partition_count
        self._keeper_client = KeeperClient(transport, router, membership.own_name)
        self._outcome_register = OutcomeRegister(
            self._keeper_client, membership, random
        )
        self._claim_numbers = itertools.count(1)
        self._attempts_by_key = {}
        # Numbers of own claims that have won and must not be withdrawn.
        self._unresolved_claims = set()
        self._configuration = None
        self._layout = None
        self._tasks = None
        self._draining = False
        router.on_call(RunWrite, self._on_run_write)
        router.on_call(AskClaimant, self._on_ask_claimant)

    def apply(self, configuration):
        """Puts a published configuration into effect."""
        self._configuration = configuration
        self._layout = GroupLayout.current(configuration, self._partition_count)

    async def run(self):
        """Hosts the tasks of attempts. Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = self._keeper_client.tasks = tasks
            await anyio.sleep_forever()

    async def drain(self):
        """Refuses new writes and waits for the attempts in progress."""
        self._draining = True
        for attempt in tuple(self._attempts_by_key.values()):
            await attempt.finished.wait()

    # Entry side: writes of this daemon's callers.

    async def run_write(self, request):
        """Returns the WriteResult of a caller's write.

        Raises ServingError if the request is refused, did not run, or has an unknown or
        expired outcome.
        """
        self._check_accepts_writes()
        self._check_request(request)
        deadline = anyio.current_time() + request.time_left_s
        outcome = await self._call_coordinators(request, deadline)
        if outcome.kind is OutcomeKind.DID_NOT_RUN:
            raise ServingError(ResultCode.WRITE_DID_NOT_RUN)
        if outcome.body is None:
            raise ServingError(ResultCode.WRITE_RESULT_EXPIRED)
        return WriteResult(outcome.status, outcome.content_type, outcome.body)

    def _check_accepts_writes(self):
        if self._draining:
            raise ServingError(
                ResultCode.WRITE_REFUSED_AT_DOOR, "the daemon is shutting down"
            )
        if self._tasks is None or self._layout is None:
            raise ServingError(
                ResultCode.WRITE_REFUSED_AT_DOOR, "the daemon has no configuration yet"
            )

    def _check_request(self, request):
        if not request.key:
            raise ServingError(
                ResultCode.KEY_REQUIRED, field="Idempotency-Key", rule="is required"
            )
        if len(request.key) > MAX_KEY_LENGTH:
            raise ServingError(
                ResultCode.MALFORMED_REQUEST,
                field="Idempotency-Key",
                rule=f"must have at most {MAX_KEY_LENGTH} characters",
            )
        operation = self._operation_of(request)
        if operation.idempotent:
            raise ServingError(
                ResultCode.MALFORMED_REQUEST,
                f"operation {request.operation} is idempotent and takes no key",
            )

    def _operation_of(self, request):
        customer = self._configuration.customers_by_name.get(request.customer)
        operations = customer.contract.operations if customer is not None else ()
        for operation in operations:
            if (operation.service, operation.name) == (
                request.service,
                request.operation,
            ):
                return operation
        # The outcome is unknown: a daemon with another configuration revision may know
        # the operation and may have run the write.
        raise ServingError(
            ResultCode.UNKNOWN_SERVICE,
            f"{request.service}/{request.operation}",
            outcome=Outcome.UNKNOWN,
        )

    async def _call_coordinators(self, request, deadline):
        key_id = digest_of(request.customer, request.service, request.key)
        excluded = set()
        last_error = ServingError(
            ResultCode.WRITE_UNKNOWN, "no time is left for the request"
        )
        while (time_left_s := deadline - anyio.current_time()) > MIN_TIME_LEFT_S:
            coordinator = self._choose_coordinator(key_id, excluded)
            try:
                return await self._call_coordinator(coordinator, request, time_left_s)
            except PeerUnreachable as error:
                self._membership.report_unreachable(coordinator)
                excluded.add(coordinator)
                last_error = ServingError(ResultCode.WRITE_UNKNOWN, str(error))
            except ServingError as error:
                if error.code is ResultCode.WRITE_REFUSED_AT_DOOR:
                    excluded.add(coordinator)
                elif error.code is not ResultCode.WRITE_IN_PROGRESS:
                    raise
                last_error = error
                if coordinator == self._membership.own_name and coordinator in excluded:
                    raise
        raise last_error

    def _choose_coordinator(self, key_id, excluded):
        """Returns the first member in the key's rendezvous order that is not excluded.

        Returns this daemon if no member is left, or after MAX_COORDINATORS_TRIED
        failures.
        """
        members = {
            name: size
            for name, size in self._membership.routable().items()
            if name not in excluded
        }
        if not members or len(excluded) >= MAX_COORDINATORS_TRIED:
            return self._membership.own_name
        return rendezvous_order(key_id.hex(), members, 1)[0]

    async def _call_coordinator(self, coordinator, request, time_left_s):
        message = RunWrite(
            request.customer,
            request.service,
            request.operation,
            request.key,
            request.body,
            request.content_type,
            min(REPLY_WAIT_S, COORDINATOR_TIME_FRACTION * time_left_s),
        )
        if coordinator == self._membership.own_name:
            return await self._run_locally(message)
        timeout = min(message.wait_s + REPLY_MARGIN_S, time_left_s)
        answer = await self._transport.call(coordinator, message, timeout)
        return answer.outcome

    # Coordinator side: writes of keys that this daemon coordinates.

    async def _on_run_write(self, sender, message):
        self._check_accepts_writes()
        return WriteAnswer(await self._run_locally(message))

    async def _run_locally(self, message):
        """Returns the final outcome of a key. Raises ServingError.

        The error is WRITE_IN_PROGRESS if the attempt does not end within ``wait_s``.
        """
        attempt = self._find_or_start_attempt(message)
        with anyio.move_on_after(message.wait_s):
            await attempt.finished.wait()
        if not attempt.finished.is_set():
            raise ServingError(ResultCode.WRITE_IN_PROGRESS, retry_after=REPLY_WAIT_S)
        return attempt.final_outcome()

    def _find_or_start_attempt(self, message):
        """Returns the attempt for the key that is in progress, or starts one.

        Raises ServingError if too many writes are in progress, or if the attempt in
        progress is for another request with this key.
        """
        key_id = digest_of(message.customer, message.service, message.key)
        digest = digest_of(message.operation, message.content_type, message.body)
        attempt = self._attempts_by_key.get(key_id)
        if attempt is None:
            if (
                len(self._attempts_by_key) >= MAX_ATTEMPTS_IN_PROGRESS
                or len(self._unresolved_claims) >= MAX_UNRESOLVED_CLAIMS
            ):
                raise ServingError(
                    ResultCode.WRITE_TABLE_FULL, "too many writes are in progress"
                )
            operation = self._operation_of(message)
            group = self._layout.group_of(key_id)
            attempt = _Attempt(message, operation, key_id, digest, group)
            self._attempts_by_key[key_id] = attempt
            self._tasks.start_soon(self._run_step, attempt, self._claim_and_run)
            return attempt
        if attempt.digest != digest:
            if attempt.claim_won:
                raise ServingError(ResultCode.KEY_REUSED)
            raise ServingError(
                ResultCode.WRITE_UNKNOWN, "another request with this key is in progress"
            )
        if attempt.finished.is_set():
            # The service was called, but its outcome could not be recorded.
            attempt.finished = anyio.Event()
            self._tasks.start_soon(self._run_step, attempt, self._record)
        return attempt

    async def _run_step(self, attempt, step):
        """Runs a step of an attempt; keeps it while it has an outcome to record.

        Of an attempt with an unknown outcome only the number of the claim is kept; a
        retry finds the claim through the keepers.
        """
        try:
            attempt.outcome = await step(attempt)
        except ServingError as error:
            attempt.error = error
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, error=repr(error))
            attempt.error = ServingError(ResultCode.WRITE_UNKNOWN, "internal error")
        if attempt.claim_won and attempt.outcome is not None:
            self._unresolved_claims.discard(attempt.claim.number)
        if attempt.outcome is not None or attempt.service_outcome is None:
            del self._attempts_by_key[attempt.key_id]
        if attempt.claim_won and attempt.outcome is None:
            log_event(
                Event.WRITE_UNKNOWN,
                customer=attempt.request.customer,
                service=attempt.request.service,
                detail=attempt.error.detail,
            )
        attempt.finished.set()

    async def _claim_and_run(self, attempt):
        """Returns the final outcome: of this daemon's service call, or of another's.

        Raises ServingError if the outcome is unknown or another request uses the key.
        """
        for round_index in range(MAX_CLAIM_ROUNDS):
            if round_index:
                await anyio.sleep(
                    CLAIM_BACKOFF_S * self._random.uniform(0.5, 1.5) * 2**round_index
                )
            replies = await self._claim(attempt)
            if self._count_votes(attempt, replies.by_name) >= attempt.group.majority:
                attempt.claim_won = True
                self._unresolved_claims.add(attempt.claim.number)
                return await self._run_once(attempt)
            own_claim, attempt.claim = attempt.claim, None
            # Keepers that refused the claim have no vote to withdraw.
            voters = [
                name
                for name in attempt.group.members
                if name not in replies.by_name or replies.by_name[name].granted
            ]
            self._withdraw(attempt.group, attempt.key_id, own_claim, voters)
            outcome = await self._complete_recorded_outcome(attempt, replies.by_name)
            if outcome is not None:
                return outcome
            outcome = await self._ask_other_claimants(
                attempt, own_claim, replies.by_name
            )
            if outcome is not None:
                return outcome
        raise ServingError(
            ResultCode.WRITE_UNKNOWN, "no claim got a majority of the votes"
        )

    # Claims.

    async def _claim(self, attempt):
        """Asks the keepers for their votes for a new claim, and returns the Replies."""
        attempt.claim = Claim(
            self._membership.own_name,
            self._membership.own_incarnation,
            next(self._claim_numbers),
            attempt.digest,
        )
        message = ClaimWrite(
            attempt.group.group_id,
            attempt.group.partition,
            attempt.key_id,
            attempt.claim,
        )
        return await self._keeper_client.call_all(
            attempt.group.members,
            message,
            lambda replies_by_name: (
                self._count_votes(attempt, replies_by_name) >= attempt.group.majority
                or _majority_outcome(attempt.group, replies_by_name) is not None
            ),
        )

    def _count_votes(self, attempt, replies_by_name):
        consistent = consistent_replies(replies_by_name)
        return sum(reply.granted for reply in consistent.values())

    def _withdraw(self, group, key_id, claim, keepers):
        message = WithdrawClaim(group.group_id, group.partition, key_id, claim)
        self._keeper_client.send_all(keepers, message)

    async def _complete_recorded_outcome(self, attempt, replies_by_name):
        """Returns the outcome that the keepers have recorded, or None if there is none.

        An outcome that fewer than a majority hold is first recorded at a majority.
        Raises ServingError if the outcome belongs to another request with this key.
        """
        records = [
            reply.record
            for reply in replies_by_name.values()
            if reply.record is not None and reply.record.outcome is not None
        ]
        if not records:
            return None
        outcome = _majority_outcome(attempt.group, replies_by_name)
        if outcome is None:
            outcome = await self._outcome_register.propose(
                attempt.group,
                attempt.key_id,
                records[0].request_digest,
                records[0].outcome,
            )
        if any(record.request_digest != attempt.digest for record in records):
            raise ServingError(ResultCode.KEY_REUSED)
        return outcome

    async def _ask_other_claimants(self, attempt, own_claim, replies_by_name):
        """Waits for the claimants that hold votes; returns the outcome if there is one.

        Returns None if all other claims were withdrawn, so that this daemon may claim
        the key again. Raises ServingError otherwise.
        """
        claims = {
            claim
            for reply in replies_by_name.values()
            if reply.record is not None
            for claim in reply.record.claims
        }
        claims.discard(own_claim)
        if not claims and any(reply.full for reply in replies_by_name.values()):
            raise ServingError(ResultCode.WRITE_TABLE_FULL)
        # Any majority of replies includes a vote for a claim that has won; fewer
        # replies could miss a won claim for another request with this key.
        consistent = consistent_replies(replies_by_name)
        if not claims or len(consistent) < attempt.group.majority:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN, "no majority of the keepers answered"
            )
        if {claim.request_digest for claim in claims} != {attempt.digest}:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN, "another request with this key was claimed"
            )
        withdrawn = True
        for claim in sorted(claims):
            claimant = await self._ask_claimant(attempt, claim)
            if claimant.state is ClaimState.FINISHED:
                return claimant.outcome
            withdrawn = withdrawn and claimant.state is ClaimState.WITHDRAWN
        if withdrawn:
            return None
        outcome = await self._resolve_by_lookup(
            attempt, "the claimant is unreachable or does not know the outcome"
        )
        current_incarnation = self._membership.own_incarnation
        self._unresolved_claims.difference_update(
            claim.number for claim in claims if claim.incarnation == current_incarnation
        )
        return outcome

    async def _ask_claimant(self, attempt, claim):
        """Returns the claimant's ClaimantState once its claim is no longer in progress.

        A claimant that does not reply counts as UNKNOWN. Raises ServingError if the
        claim is still in progress after the operation's timeout.
        """
        deadline = anyio.current_time() + attempt.operation.timeout_s + REPLY_WAIT_S
        message = AskClaimant(attempt.key_id, claim, REPLY_WAIT_S)
        while True:
            try:
                reply = await self._keeper_client.call(
                    claim.member, message, REPLY_WAIT_S + REPLY_MARGIN_S
                )
            except (PeerUnreachable, ServingError):
                return ClaimantState(ClaimState.UNKNOWN)
            if reply.state is not ClaimState.IN_PROGRESS:
                return reply
            if anyio.current_time() >= deadline:
                raise ServingError(
                    ResultCode.WRITE_IN_PROGRESS, retry_after=REPLY_WAIT_S
                )

    async def _on_ask_claimant(self, sender, message):
        claim = message.claim
        if (claim.member, claim.incarnation) != (
            self._membership.own_name,
            self._membership.own_incarnation,
        ):
            return ClaimantState(ClaimState.REPLACED)
        attempt = self._attempts_by_key.get(message.key_id)
        if attempt is None or attempt.claim != claim:
            if claim.number in self._unresolved_claims:
                return ClaimantState(ClaimState.UNKNOWN)
            # A claim without an attempt either lost or has its outcome recorded, so its
            # votes can be withdrawn.
            group = self._layout.group_of(message.key_id)
            self._withdraw(group, message.key_id, claim, group.members)
            return ClaimantState(ClaimState.WITHDRAWN)
        with anyio.move_on_after(message.wait_s):
            await attempt.finished.wait()
        if not attempt.finished.is_set():
            return ClaimantState(ClaimState.IN_PROGRESS)
        if attempt.outcome is not None:
            return ClaimantState(ClaimState.FINISHED, attempt.outcome)
        state = ClaimState.UNKNOWN if attempt.claim_won else ClaimState.WITHDRAWN
        return ClaimantState(state)

    # Service call, and recording or resolving its outcome.

    async def _run_once(self, attempt):
        """Calls the service once and records the outcome. The claim must have won."""
        attempt.service_outcome = await self._call_service(attempt)
        # The body is never sent again, so it is not kept while the outcome is recorded.
        attempt.request = msgspec.structs.replace(attempt.request, body=b"")
        if attempt.service_outcome is None:
            return await self._resolve_by_lookup(
                attempt, "the service did not answer in time"
            )
        return await self._record(attempt)

    async def _call_service(self, attempt):
        """Returns the WriteOutcome, or None if it is unknown.

        A call of which certainly nothing was sent is repeated until the operation's
        timeout, so the service sees at most one call.
        """
        deadline = anyio.current_time() + attempt.operation.timeout_s
        while True:
            try:
                with anyio.move_on_after(
                    attempt.operation.timeout_s + SERVICE_TIMEOUT_MARGIN_S
                ):
                    answer = await self._services.call(self._write_call(attempt))
                    return WriteOutcome(
                        OutcomeKind.DONE,
                        answer.status,
                        answer.content_type,
                        answer.body,
                    )
                return None
            except OldFencingNumber:
                return WriteOutcome(OutcomeKind.DID_NOT_RUN)
            except ServiceUnreachable as error:
                if error.sent:
                    return None
            if anyio.current_time() + CONNECT_RETRY_INTERVAL_S >= deadline:
                return WriteOutcome(OutcomeKind.DID_NOT_RUN)
            await anyio.sleep(CONNECT_RETRY_INTERVAL_S)

    def _write_call(self, attempt):
        request = attempt.request
        return ServiceCall(
            request.service,
            request.operation,
            request.body,
            request.content_type,
            request.key,
            WRITE_FENCING_NUMBER if self._checks_fencing_numbers(attempt) else None,
            attempt.operation.timeout_s,
        )

    def _checks_fencing_numbers(self, attempt):
        service = self._configuration.services_by_name[attempt.request.service]
        return service.checks_fencing_numbers

    async def _record(self, attempt):
        """Returns the final outcome once a majority of the keepers has recorded it.

        Retries while no majority answers. Raises the last ServingError after
        MAX_RECORD_ATTEMPTS.
        """
        for attempt_index in range(MAX_RECORD_ATTEMPTS):
            if attempt_index:
                await anyio.sleep(RECORD_RETRY_INTERVAL_S)
            try:
                return await self._outcome_register.record_as_claimant(
                    self._layout.group_of(attempt.key_id),
                    attempt.key_id,
                    attempt.digest,
                    attempt.service_outcome,
                )
            except ServingError as error:
                last_error = error
        raise last_error

    async def _resolve_by_lookup(self, attempt, reason):
        """Calls the service's lookup operation and records the outcome that it proves.

        Raises ServingError if the operation has no lookup or it proves nothing.
        """
        operation = attempt.operation
        if operation.lookup is None:
            raise ServingError(ResultCode.WRITE_UNKNOWN, reason)
        outcome = await self._call_lookup(attempt)
        if outcome is None:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN,
                f"{reason}; the lookup does not prove an outcome",
            )
        group = self._layout.group_of(attempt.key_id)
        return await self._outcome_register.propose(
            group, attempt.key_id, attempt.digest, outcome
        )

    async def _call_lookup(self, attempt):
        """Returns the WriteOutcome that the lookup proves, or None.

        A lookup that finds nothing proves that the write did not run only if the
        service checks fencing numbers; otherwise the write may still arrive.
        """
        checks_fencing = self._checks_fencing_numbers(attempt)
        call = ServiceCall(
            attempt.request.service,
            attempt.operation.lookup,
            b"",
            idempotency_key=attempt.request.key,
            fencing_number=LOOKUP_FENCING_NUMBER if checks_fencing else None,
            timeout=attempt.operation.timeout_s,
        )
        try:
            with anyio.move_on_after(
                attempt.operation.timeout_s + SERVICE_TIMEOUT_MARGIN_S
            ):
                answer = await self._services.call(call)
                if 200 <= answer.status < 300:
                    return WriteOutcome(
                        OutcomeKind.DONE,
                        answer.status,
                        answer.content_type,
                        answer.body,
                    )
                if answer.status == 404 and checks_fencing:
                    return WriteOutcome(OutcomeKind.DID_NOT_RUN)
        except (ServiceUnreachable, OldFencingNumber):
            return None
        return None


def _majority_outcome(group, replies_by_name):
    """Returns the outcome that a majority has accepted with the same ballot, or None.

    Prefers a reply that still has the result's body.
    """
    outcomes_by_ballot = {}
    for reply in consistent_replies(replies_by_name).values():
        record = reply.record
        if record is not None and record.outcome is not None:
            outcomes_by_ballot.setdefault(record.accepted, []).append(record.outcome)
    for outcomes in outcomes_by_ballot.values():
        if len(outcomes) >= group.majority:
            return max(outcomes, key=lambda outcome: outcome.body is not None)
    return None
