"""Runs non-idempotent writes: claim at the keepers, one attempt, recorded outcome.

Only the daemon incarnation whose claim has the votes of a majority of a key's keepers
calls the service for that key, and it does so once. Membership views and time-outs
decide where a request goes and how long it waits, never whether a write runs again.
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
from snipetrestle.writes.asking import KeeperAsker
from snipetrestle.writes.groups import PARTITIONS, GroupLayout, consistent_replies
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

# The write carries the first number. Whoever resolves a lost write uses the second, after
# which the service refuses the write. Nobody ever runs the write with the second number.
WRITE_FENCING_NUMBER = 1
RESOLVE_FENCING_NUMBER = 2

# A home answers within this time, so that an entry soon notices one that is paused.
HOME_WAIT_S = 1.0
HOME_MARGIN_S = 1.0
MAX_HOMES = 3
# Part of the caller's time that a home may use; the rest is for the way back.
HOME_SHARE = 0.8
# With less time left no home is asked again.
MIN_TIME_LEFT_S = 0.05
MAX_KEY_LENGTH = 255
# Attempts in progress, each with its request body.
MAX_ATTEMPTS = 10_000
# Claims of this daemon that have won and whose outcome is not recorded: 74 bytes each
# (measured over 100,000). They must not be forgotten, so new writes are refused beyond
# the limit.
MAX_OPEN_CLAIMS = 100_000
# Claims of different daemons may split the votes; all withdraw and try again.
MAX_CLAIM_ROUNDS = 6
CLAIM_BACKOFF_S = 0.02
# A service that refuses connections is tried again, since nothing was sent.
CONNECT_BACKOFF_S = 0.2
# How often and how long a claimant tries to record an outcome without being asked.
MAX_RECORD_TRIES = 30
RECORD_BACKOFF_S = 2.0
# Extra time for an answer that comes back just after the service's own time-out.
SERVICE_MARGIN_S = 0.5


class WriteRequest(msgspec.Struct, frozen=True):
    """One write of a caller. ``time_left_s`` is the time until the caller gives up."""

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
    """One daemon's work on one key."""

    __slots__ = (
        "request",
        "operation",
        "key_id",
        "digest",
        "group",
        "claim",
        "won",
        "proposal",
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
        # True from the moment the claim has a majority; it is never withdrawn then.
        self.won = False
        # What the attempt gave, until a majority has recorded it.
        self.proposal = None
        self.outcome = None
        self.error = None
        self.finished = anyio.Event()

    def answer(self):
        """Returns the final outcome or raises the error."""
        if self.outcome is not None:
            return self.outcome
        raise self.error


class WriteCoordinator:
    """Entry and home side of writes in one daemon.

    ``apply`` takes the published configuration, ``run`` holds the tasks of attempts
    until cancelled, and ``run_write`` is the entry's call. ``random`` is a seeded
    generator.
    """

    def __init__(
        self, transport, router, membership, services, random, partitions=PARTITIONS
    ):
        self._transport = transport
        self._membership = membership
        self._services = services
        self._random = random
        self._partition_count = partitions
        self._asker = KeeperAsker(transport, router, membership.own_name)
        self._register = OutcomeRegister(self._asker, membership, random)
        self._claim_numbers = itertools.count(1)
        self._attempts_by_key = {}
        # Numbers of own claims that may never be withdrawn.
        self._open_claims = set()
        self._configuration = None
        self._layout = None
        self._tasks = None
        self._draining = False
        router.on_call(RunWrite, self._on_run)
        router.on_call(AskClaimant, self._on_ask)

    def apply(self, configuration):
        """Takes over a published configuration."""
        self._configuration = configuration
        self._layout = GroupLayout.current(configuration, self._partition_count)

    async def run(self):
        """Holds the tasks of attempts. Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = self._asker.tasks = tasks
            await anyio.sleep_forever()

    async def drain(self):
        """Refuses new writes and waits for the attempts in progress."""
        self._draining = True
        for attempt in tuple(self._attempts_by_key.values()):
            await attempt.finished.wait()

    # Entry side.

    async def run_write(self, request):
        """Returns the WriteResult. Raises ServingError."""
        self._refuse_unless_open()
        self._check(request)
        deadline = anyio.current_time() + request.time_left_s
        outcome = await self._ask_homes(request, deadline)
        if outcome.kind is OutcomeKind.DID_NOT_RUN:
            raise ServingError(ResultCode.WRITE_DID_NOT_RUN)
        if outcome.body is None:
            raise ServingError(ResultCode.WRITE_RESULT_EXPIRED)
        return WriteResult(outcome.status, outcome.content_type, outcome.body)

    def _refuse_unless_open(self):
        if self._draining:
            raise ServingError(ResultCode.WRITE_REFUSED_AT_DOOR, "the daemon stops")
        if self._tasks is None or self._layout is None:
            raise ServingError(
                ResultCode.WRITE_REFUSED_AT_DOOR, "the daemon has no configuration yet"
            )

    def _check(self, request):
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
        # Another daemon with another revision may know the operation and run the write.
        raise ServingError(
            ResultCode.UNKNOWN_SERVICE,
            f"{request.service}/{request.operation}",
            outcome=Outcome.UNKNOWN,
        )

    async def _ask_homes(self, request, deadline):
        key_id = digest_of(request.customer, request.service, request.key)
        avoided = set()
        last_error = ServingError(ResultCode.WRITE_UNKNOWN, "the time is over")
        while (left := deadline - anyio.current_time()) > MIN_TIME_LEFT_S:
            home = self._choose_home(key_id, avoided)
            try:
                return await self._ask_home(home, request, left)
            except PeerUnreachable as error:
                self._membership.report_unreachable(home)
                avoided.add(home)
                last_error = ServingError(ResultCode.WRITE_UNKNOWN, str(error))
            except ServingError as error:
                if error.code is ResultCode.WRITE_REFUSED_AT_DOOR:
                    avoided.add(home)
                elif error.code is not ResultCode.WRITE_IN_PROGRESS:
                    raise
                last_error = error
                if home == self._membership.own_name and home in avoided:
                    raise
        raise last_error

    def _choose_home(self, key_id, avoided):
        """Returns the first member not avoided; this daemon after several failures."""
        members = {
            name: size
            for name, size in self._membership.routable().items()
            if name not in avoided
        }
        if not members or len(avoided) >= MAX_HOMES:
            return self._membership.own_name
        return rendezvous_order(key_id.hex(), members, 1)[0]

    async def _ask_home(self, home, request, left):
        message = RunWrite(
            request.customer,
            request.service,
            request.operation,
            request.key,
            request.body,
            request.content_type,
            min(HOME_WAIT_S, HOME_SHARE * left),
        )
        if home == self._membership.own_name:
            return await self._run_here(message)
        timeout = min(message.wait_s + HOME_MARGIN_S, left)
        answer = await self._transport.call(home, message, timeout)
        return answer.outcome

    # Home side.

    async def _on_run(self, sender, message):
        self._refuse_unless_open()
        return WriteAnswer(await self._run_here(message))

    async def _run_here(self, message):
        """Returns the final outcome of a key, or raises ServingError in ``wait_s``."""
        attempt = self._attempt_for(message)
        with anyio.move_on_after(message.wait_s):
            await attempt.finished.wait()
        if not attempt.finished.is_set():
            raise ServingError(ResultCode.WRITE_IN_PROGRESS, retry_after=HOME_WAIT_S)
        return attempt.answer()

    def _attempt_for(self, message):
        """Returns the attempt in progress for the key, or starts one."""
        key_id = digest_of(message.customer, message.service, message.key)
        digest = digest_of(message.operation, message.content_type, message.body)
        attempt = self._attempts_by_key.get(key_id)
        if attempt is None:
            if (
                len(self._attempts_by_key) >= MAX_ATTEMPTS
                or len(self._open_claims) >= MAX_OPEN_CLAIMS
            ):
                raise ServingError(ResultCode.WRITE_TABLE_FULL, "too many open writes")
            operation = self._operation_of(message)
            group = self._layout.group_of(key_id)
            attempt = _Attempt(message, operation, key_id, digest, group)
            self._attempts_by_key[key_id] = attempt
            self._tasks.start_soon(self._work, attempt, self._claim_and_run)
            return attempt
        if attempt.digest != digest:
            if attempt.won:
                raise ServingError(ResultCode.KEY_REUSED)
            raise ServingError(
                ResultCode.WRITE_UNKNOWN, "another request with this key is in progress"
            )
        if attempt.finished.is_set():
            # The write ran and its outcome could not be recorded.
            attempt.finished = anyio.Event()
            self._tasks.start_soon(self._work, attempt, self._record)
        return attempt

    async def _work(self, attempt, step):
        """Runs a step of an attempt and keeps the attempt while it has an outcome to record.

        An attempt that ended unknown is kept only as an open claim; a retry finds it
        through the keepers.
        """
        try:
            attempt.outcome = await step(attempt)
        except ServingError as error:
            attempt.error = error
        except Exception as error:
            log_event(Event.INTERNAL_ERROR, error=repr(error))
            attempt.error = ServingError(ResultCode.WRITE_UNKNOWN, "internal error")
        if attempt.won and attempt.outcome is not None:
            self._open_claims.discard(attempt.claim.number)
        if attempt.outcome is not None or attempt.proposal is None:
            del self._attempts_by_key[attempt.key_id]
        if attempt.won and attempt.outcome is None:
            log_event(
                Event.WRITE_UNKNOWN,
                customer=attempt.request.customer,
                service=attempt.request.service,
                detail=attempt.error.detail,
            )
        attempt.finished.set()

    async def _claim_and_run(self, attempt):
        for number in range(MAX_CLAIM_ROUNDS):
            if number:
                await anyio.sleep(
                    CLAIM_BACKOFF_S * self._random.uniform(0.5, 1.5) * 2**number
                )
            replies = await self._claim(attempt)
            if self._votes(attempt, replies.by_name) >= attempt.group.majority:
                attempt.won = True
                self._open_claims.add(attempt.claim.number)
                return await self._run_once(attempt)
            own_claim, attempt.claim = attempt.claim, None
            # Keepers that have refused hold no vote to give back.
            voters = [
                name
                for name in attempt.group.members
                if name not in replies.by_name or replies.by_name[name].granted
            ]
            self._withdraw(attempt.group, attempt.key_id, own_claim, voters)
            outcome = await self._settle_found(attempt, replies.by_name)
            if outcome is not None:
                return outcome
            outcome = await self._ask_other_claimants(
                attempt, own_claim, replies.by_name
            )
            if outcome is not None:
                return outcome
        raise ServingError(ResultCode.WRITE_UNKNOWN, "no claim won the key")

    # Claims.

    async def _claim(self, attempt):
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
        return await self._asker.ask(
            attempt.group.members,
            message,
            lambda by_name: (
                self._votes(attempt, by_name) >= attempt.group.majority
                or _recorded_outcome(attempt.group, by_name) is not None
            ),
        )

    def _votes(self, attempt, replies_by_name):
        consistent = consistent_replies(replies_by_name)
        return sum(reply.granted for reply in consistent.values())

    def _withdraw(self, group, key_id, claim, keepers):
        message = WithdrawClaim(group.group_id, group.partition, key_id, claim)
        self._asker.tell(keepers, message)

    async def _settle_found(self, attempt, replies_by_name):
        """Returns the outcome that keepers have recorded, or None."""
        records = [
            reply.record
            for reply in replies_by_name.values()
            if reply.record is not None and reply.record.outcome is not None
        ]
        if not records:
            return None
        outcome = _recorded_outcome(attempt.group, replies_by_name)
        if outcome is None:
            outcome = await self._register.settle(
                attempt.group,
                attempt.key_id,
                records[0].request_digest,
                records[0].outcome,
            )
        if any(record.request_digest != attempt.digest for record in records):
            raise ServingError(ResultCode.KEY_REUSED)
        return outcome

    async def _ask_other_claimants(self, attempt, own_claim, replies_by_name):
        """Waits for the claimants that hold votes; returns an outcome or None.

        None means that no other claim was in the way for good: claim again.
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
        # Any majority shows a claim that has won; fewer replies could hide one for
        # another request with this key.
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
            state = await self._ask_claimant(attempt, claim)
            if state.state is ClaimState.FINISHED:
                return state.outcome
            withdrawn = withdrawn and state.state is ClaimState.WITHDRAWN
        if withdrawn:
            return None
        outcome = await self._look_up(attempt, "the claimant is gone or does not know")
        own = self._membership.own_incarnation
        self._open_claims.difference_update(
            claim.number for claim in claims if claim.incarnation == own
        )
        return outcome

    async def _ask_claimant(self, attempt, claim):
        """Returns the claimant's state once it is no longer in progress."""
        end = anyio.current_time() + attempt.operation.timeout_s + HOME_WAIT_S
        message = AskClaimant(attempt.key_id, claim, HOME_WAIT_S)
        while True:
            try:
                state = await self._asker.call(
                    claim.member, message, HOME_WAIT_S + HOME_MARGIN_S
                )
            except (PeerUnreachable, ServingError):
                return ClaimantState(ClaimState.UNKNOWN)
            if state.state is not ClaimState.IN_PROGRESS:
                return state
            if anyio.current_time() >= end:
                raise ServingError(
                    ResultCode.WRITE_IN_PROGRESS, retry_after=HOME_WAIT_S
                )

    async def _on_ask(self, sender, message):
        claim = message.claim
        if (claim.member, claim.incarnation) != (
            self._membership.own_name,
            self._membership.own_incarnation,
        ):
            return ClaimantState(ClaimState.REPLACED)
        attempt = self._attempts_by_key.get(message.key_id)
        if attempt is None or attempt.claim != claim:
            if claim.number in self._open_claims:
                return ClaimantState(ClaimState.UNKNOWN)
            # A claim that is not in progress has lost, or its outcome is recorded.
            group = self._layout.group_of(message.key_id)
            self._withdraw(group, message.key_id, claim, group.members)
            return ClaimantState(ClaimState.WITHDRAWN)
        with anyio.move_on_after(message.wait_s):
            await attempt.finished.wait()
        if not attempt.finished.is_set():
            return ClaimantState(ClaimState.IN_PROGRESS)
        if attempt.outcome is not None:
            return ClaimantState(ClaimState.FINISHED, attempt.outcome)
        state = ClaimState.UNKNOWN if attempt.won else ClaimState.WITHDRAWN
        return ClaimantState(state)

    # The one attempt, and what follows it.

    async def _run_once(self, attempt):
        """Calls the service once and records the outcome. The claim must be won."""
        attempt.proposal = await self._call_service(attempt)
        # The body is never sent again; an open attempt keeps only the small fields.
        attempt.request = msgspec.structs.replace(attempt.request, body=b"")
        if attempt.proposal is None:
            return await self._look_up(attempt, "the service did not answer in time")
        return await self._record(attempt)

    async def _call_service(self, attempt):
        """Returns the outcome, or None if it is unknown.

        A call that certainly did not leave is repeated until the operation's time-out;
        all repetitions together make at most one attempt at the service.
        """
        end = anyio.current_time() + attempt.operation.timeout_s
        while True:
            try:
                with anyio.move_on_after(
                    attempt.operation.timeout_s + SERVICE_MARGIN_S
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
            if anyio.current_time() + CONNECT_BACKOFF_S >= end:
                return WriteOutcome(OutcomeKind.DID_NOT_RUN)
            await anyio.sleep(CONNECT_BACKOFF_S)

    def _write_call(self, attempt):
        request = attempt.request
        return ServiceCall(
            request.service,
            request.operation,
            request.body,
            request.content_type,
            request.key,
            WRITE_FENCING_NUMBER if self._is_fencing(attempt) else None,
            attempt.operation.timeout_s,
        )

    def _is_fencing(self, attempt):
        service = self._configuration.services_by_name[attempt.request.service]
        return service.checks_fencing_numbers

    async def _record(self, attempt):
        """Records the outcome; tries again while no majority of keepers answers."""
        for number in range(MAX_RECORD_TRIES):
            if number:
                await anyio.sleep(RECORD_BACKOFF_S)
            try:
                return await self._register.record_as_claimant(
                    self._layout.group_of(attempt.key_id),
                    attempt.key_id,
                    attempt.digest,
                    attempt.proposal,
                )
            except ServingError as error:
                last_error = error
        raise last_error

    async def _look_up(self, attempt, reason):
        """Asks the service's lookup and records what it proves.

        Raises ServingError if the operation has no lookup or it proves nothing.
        """
        operation = attempt.operation
        if operation.lookup is None:
            raise ServingError(ResultCode.WRITE_UNKNOWN, reason)
        outcome = await self._ask_service(attempt)
        if outcome is None:
            raise ServingError(
                ResultCode.WRITE_UNKNOWN, f"{reason}; the lookup proves nothing"
            )
        group = self._layout.group_of(attempt.key_id)
        return await self._register.settle(
            group, attempt.key_id, attempt.digest, outcome
        )

    async def _ask_service(self, attempt):
        fencing = self._is_fencing(attempt)
        call = ServiceCall(
            attempt.request.service,
            attempt.operation.lookup,
            b"",
            idempotency_key=attempt.request.key,
            fencing_number=RESOLVE_FENCING_NUMBER if fencing else None,
            timeout=attempt.operation.timeout_s,
        )
        try:
            with anyio.move_on_after(attempt.operation.timeout_s + SERVICE_MARGIN_S):
                answer = await self._services.call(call)
                if 200 <= answer.status < 300:
                    return WriteOutcome(
                        OutcomeKind.DONE,
                        answer.status,
                        answer.content_type,
                        answer.body,
                    )
                if answer.status == 404 and fencing:
                    return WriteOutcome(OutcomeKind.DID_NOT_RUN)
        except (ServiceUnreachable, OldFencingNumber):
            return None
        return None


def _recorded_outcome(group, replies_by_name):
    """Returns the outcome that a majority holds under one ballot, or None."""
    holders_by_ballot = {}
    for reply in consistent_replies(replies_by_name).values():
        record = reply.record
        if record is not None and record.outcome is not None:
            holders_by_ballot.setdefault(record.accepted, []).append(record.outcome)
    for outcomes in holders_by_ballot.values():
        if len(outcomes) >= group.majority:
            return max(outcomes, key=lambda outcome: outcome.body is not None)
    return None
