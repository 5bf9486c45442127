"""Calls of plain services on behalf of callers: idempotent operations and writes."""

import anyio

from snipetrestle.caller_memory import FULL_RETRY_AFTER_S
from snipetrestle.codes import Outcome, ResultCode, ServingError
from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceCall,
    ServiceConnectionsExhausted,
    ServiceUnreachable,
)
from snipetrestle.writes import WriteRequest

SERVICES_PATH_PREFIX = "/v1/services/"
# Maximum attempts of an idempotent call, including the first.
MAX_ATTEMPTS = 3
FIRST_BACKOFF_S = 0.05
# Time that is added to a service's timeout for a write without a deadline of its own.
# It covers the votes of the keepers and the recording of the outcome.
WRITE_MARGIN_S = 5.0


class ServiceCalls:
    """Runs callers' service calls.

    The operations in the customer's contract determine which calls are retried.
    """

    def __init__(self, services, writes, shares, generator):
        self._services = services
        self._writes = writes
        self._shares = shares
        self._generator = generator

    async def run(self, customer, target, key, body, content_type, time_left_s=None):
        """Returns a ServiceAnswer or a WriteResult. Raises ServingError."""
        operation = operation_of(customer, target, key)
        if operation.idempotent:
            return await self._call_with_retries(
                customer, operation, key, body, content_type, time_left_s
            )
        if not key:
            raise ServingError(
                ResultCode.KEY_REQUIRED, field="Idempotency-Key", rule="is required"
            )
        request = WriteRequest(
            customer=customer.name,
            service=operation.service,
            operation=operation.name,
            key=key,
            body=body,
            content_type=content_type,
            time_left_s=time_left_s or operation.timeout_s + WRITE_MARGIN_S,
        )
        try:
            admission = self._shares.admit(customer.name, "waiting", 0)
        except ServingError as error:
            raise write_refusal(error) from None
        with admission:
            return await self._writes.run_write(request)

    async def _call_with_retries(
        self, customer, operation, key, body, content_type, time_left_s
    ):
        with self._shares.admit(customer.name, "waiting", 0):
            deadline = anyio.current_time() + (time_left_s or operation.timeout_s)
            may_have_run, reason = False, "the deadline has passed"
            for attempt in range(1, MAX_ATTEMPTS + 1):
                remaining_s = deadline - anyio.current_time()
                if remaining_s <= 0:
                    break
                call = ServiceCall(
                    service=operation.service,
                    operation=operation.name,
                    body=body,
                    content_type=content_type,
                    idempotency_key=key,
                    timeout=min(remaining_s, operation.timeout_s),
                )
                try:
                    return await self._services.call(call)
                except OldFencingNumber as error:
                    raise ServingError(ResultCode.FENCED, str(error)) from None
                except ServiceConnectionsExhausted as error:
                    reason = str(error)
                    if not may_have_run:
                        raise ServingError(
                            ResultCode.QUEUE_FULL,
                            reason,
                            retry_after=FULL_RETRY_AFTER_S,
                        ) from None
                except ServiceUnreachable as error:
                    may_have_run = may_have_run or error.sent
                    reason = str(error)
                if attempt == MAX_ATTEMPTS or not self._may_retry(customer):
                    break
                backoff_s = FIRST_BACKOFF_S * 2 ** (attempt - 1)
                await anyio.sleep(backoff_s * self._generator.uniform(0.75, 1.25))
        if may_have_run:
            raise ServingError(ResultCode.SERVICE_NO_ANSWER, reason)
        raise ServingError(ResultCode.SERVICE_UNREACHABLE, reason)

    def _may_retry(self, customer):
        try:
            with self._shares.admit(customer.name, "waiting", 0, is_retry=True):
                return True
        except ServingError:
            return False


def target_of(path):
    """Parses a path. Returns (service, operation). Raises ServingError."""
    service, _, operation = path.removeprefix(SERVICES_PATH_PREFIX).partition("/")
    if not service or not operation or "/" in operation:
        raise ServingError(
            ResultCode.UNKNOWN_PATH,
            field="path",
            value=path,
            rule="must be /v1/services/SERVICE/OPERATION",
        )
    return service, operation


def operation_of(customer, target, key):
    """Returns the Operation of a (service, operation) target in the contract.

    Raises ServingError.
    """
    for operation in customer.contract.operations:
        if (operation.service, operation.name) == target:
            return operation
    # A write with this key may run at another daemon that has a newer contract.
    raise ServingError(
        ResultCode.UNKNOWN_SERVICE,
        "/".join(target),
        field="path",
        value="/".join(target),
        rule="must be an operation of the customer's contract",
        outcome=Outcome.UNKNOWN if key else None,
    )


def write_refusal(error):
    """Returns the error of a write with an idempotency key that is not admitted.

    Another attempt with the same key may be running at another daemon, so this refusal
    does not mean that the write did not run.
    """
    return ServingError(
        ResultCode.WRITE_REFUSED_AT_DOOR,
        f"{error.code}: {error.code.meaning}",
        retry_after=error.retry_after or 1.0,
    )
