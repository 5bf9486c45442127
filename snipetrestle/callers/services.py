"""Pass-through calls of plain services: idempotent ones and writes."""

import anyio

from snipetrestle.codes import Outcome, ResultCode, ServingError
from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceCall,
    ServiceUnreachable,
)
from snipetrestle.writes import WriteRequest

PATH_START = "/v1/services/"
# Attempts of an idempotent call, the first included.
MAX_ATTEMPTS = 3
FIRST_PAUSE_S = 0.05
# Time that a caller of a write waits beyond the service's own time-out, for the votes
# and the record of the outcome.
WRITE_MARGIN_S = 5.0


class ServiceCalls:
    """Runs callers' service calls; the contract's operations decide how."""

    def __init__(self, services, writes, shares, generator):
        self._services = services
        self._writes = writes
        self._shares = shares
        self._random = generator

    async def run(self, customer, target, key, body, content_type, time_left_s=None):
        """Returns a ServiceAnswer or a WriteResult. Raises ServingError."""
        operation = operation_of(customer, target, key)
        if operation.idempotent:
            return await self._repeat(
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
            raise refused_write(error) from None
        with admission:
            return await self._writes.run_write(request)

    async def _repeat(self, customer, operation, key, body, content_type, time_left_s):
        with self._shares.admit(customer.name, "waiting", 0):
            deadline = anyio.current_time() + (time_left_s or operation.timeout_s)
            sent, reason = False, "the deadline is over"
            for attempt in range(1, MAX_ATTEMPTS + 1):
                left = deadline - anyio.current_time()
                if left <= 0:
                    break
                call = ServiceCall(
                    service=operation.service,
                    operation=operation.name,
                    body=body,
                    content_type=content_type,
                    idempotency_key=key,
                    timeout=min(left, operation.timeout_s),
                )
                try:
                    return await self._services.call(call)
                except OldFencingNumber as error:
                    raise ServingError(ResultCode.FENCED, str(error)) from None
                except ServiceUnreachable as error:
                    sent = sent or error.sent
                    reason = str(error)
                if attempt == MAX_ATTEMPTS or not self._may_retry(customer):
                    break
                pause = FIRST_PAUSE_S * 2 ** (attempt - 1)
                await anyio.sleep(pause * self._random.uniform(0.75, 1.25))
        if sent:
            raise ServingError(ResultCode.SERVICE_NO_ANSWER, reason)
        raise ServingError(ResultCode.SERVICE_UNREACHABLE, reason)

    def _may_retry(self, customer):
        try:
            with self._shares.admit(customer.name, "waiting", 0, is_retry=True):
                return True
        except ServingError:
            return False


def target_of(path):
    """Returns (service, operation) of a path. Raises ServingError."""
    service, _, operation = path.removeprefix(PATH_START).partition("/")
    if not service or not operation or "/" in operation:
        raise ServingError(
            ResultCode.UNKNOWN_PATH,
            field="path",
            value=path,
            rule="must be /v1/services/SERVICE/OPERATION",
        )
    return service, operation


def operation_of(customer, target, key):
    """Returns the contract's Operation. Raises ServingError."""
    for operation in customer.contract.operations:
        if (operation.service, operation.name) == target:
            return operation
    # With a key, another daemon that has a newer contract may run the write.
    raise ServingError(
        ResultCode.UNKNOWN_SERVICE,
        "/".join(target),
        field="path",
        value="/".join(target),
        rule="must be an operation of the customer's contract",
        outcome=Outcome.UNKNOWN if key else None,
    )


def refused_write(error):
    """Returns the error of a keyed write that was refused on admission.

    A retry with the same key may be running at another daemon, so a refusal here does
    not tell that the write did not run.
    """
    return ServingError(
        ResultCode.WRITE_REFUSED_AT_DOOR,
        f"{error.code}: {error.code.meaning}",
        retry_after=error.retry_after or 1.0,
    )
