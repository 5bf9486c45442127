"""ASGI application of a stand-in plain service, in the format of HttpServiceClient."""

from snipetrestle.services.http_client import (
    FENCING_HEADER,
    OLD_FENCING_NUMBER_STATUS,
    OPERATION_PATH,
)
from snipetrestle.services.protocol import (
    OldFencingNumber,
    ServiceCall,
    ServiceUnreachable,
)
from snipetrestle_standins.engine_http import read_body
from snipetrestle_standins.http_answers import run_lifespan, send_response

# Longer than the time-outs of clients, which have given up by then.
CALL_TIMEOUT_S = 30.0


def service_app(service, name):
    """Returns the ASGI application of a StandInService that serves as ``name``."""

    async def app(scope, receive, send):
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        call = await _read_call(name, scope, receive)
        try:
            result = await service.call(call)
        except OldFencingNumber as error:
            header = (FENCING_HEADER, b"%d" % error.highest)
            await send_response(send, OLD_FENCING_NUMBER_STATUS, headers=[header])
        except ServiceUnreachable:
            await send_response(send, 504)
        else:
            header = (b"content-type", result.content_type.encode())
            await send_response(send, result.status, result.body, [header])

    return app


async def _read_call(name, scope, receive):
    headers = dict(scope["headers"])
    key = headers.get(b"idempotency-key")
    number = headers.get(FENCING_HEADER)
    return ServiceCall(
        service=name,
        operation=scope["path"].removeprefix(OPERATION_PATH),
        body=await read_body(receive),
        content_type=headers.get(b"content-type", b"").decode("latin-1"),
        idempotency_key=None if key is None else key.decode(),
        fencing_number=None if number is None else int(number),
        timeout=CALL_TIMEOUT_S,
    )
