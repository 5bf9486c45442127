"""JSON error responses for callers."""

import math

import msgspec

from snipetrestle.codes import ServingError

# Retry-After of a retryable refusal that does not specify one.
DEFAULT_RETRY_AFTER_S = 1.0

_encoder = msgspec.json.Encoder()


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """An error in JSON. ``outcome`` tells whether the request ran.

    ``field``, ``value`` and ``rule`` describe the invalid input, if any.
    """

    code: str
    message: str
    outcome: str
    type: str = "serving_error"
    detail: str = ""
    field: str | None = None
    value: str | None = None
    rule: str | None = None
    retry_after_s: float | None = None


class ErrorResponse(msgspec.Struct):
    """Error response in the format of the common LLM APIs."""

    error: ErrorBody


def retry_after_s_of(error):
    """Returns the seconds to wait before a retry, or None if a retry cannot help."""
    if error.retry_after is not None:
        return error.retry_after
    return DEFAULT_RETRY_AFTER_S if error.code.retryable else None


def error_body(error):
    """Returns the JSON body of a ServingError."""
    return _encoder.encode(
        ErrorResponse(
            ErrorBody(
                code=str(error.code),
                message=error.code.meaning,
                outcome=str(error.outcome),
                type="serving_error",
                detail=error.detail,
                field=error.field,
                value=None if error.value is None else str(error.value),
                rule=error.rule,
                retry_after_s=retry_after_s_of(error),
            )
        )
    )


def error_headers(error):
    """Returns the response headers of a ServingError."""
    headers = [(b"content-type", b"application/json")]
    retry_after = retry_after_s_of(error)
    if retry_after is not None:
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(retry_after))))
    return headers


def raw_error_response(code, detail="", **details):
    """Returns an HTTP response as bytes, for a connection without a parsed request."""
    error = ServingError(code, detail, **details)
    body = error_body(error)
    lines = [b"HTTP/1.1 %d Error" % code.http_status]
    lines += [b"%s: %s" % header for header in error_headers(error)]
    lines += [b"content-length: %d" % len(body), b"connection: close", b"", body]
    return b"\r\n".join(lines)
