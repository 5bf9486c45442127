"""Messages between daemons, sent as MessagePack inside a gRPC envelope.

Each subsystem defines its messages beside its code and registers them here, so that one
decoder serves all.
"""

import msgspec

from snipetrestle.codes import Outcome, ResultCode, ServingError, codes_by_number

_types_by_name = {}


def register_message(message_type):
    """Class decorator: makes a message type known to the decoder."""
    name = message_type.__name__
    if name in _types_by_name:
        raise ValueError(f"message type {name} is registered twice")
    _types_by_name[name] = msgspec.msgpack.Decoder(message_type)
    return message_type


def registered_types():
    """Returns all registered message types."""
    return tuple(decoder.type for decoder in _types_by_name.values())


_encoder = msgspec.msgpack.Encoder()


def encode(message):
    """Returns (type name, body) of a message."""
    return type(message).__name__, _encoder.encode(message)


def decode(type_name, body):
    """Returns the message. Raises KeyError or msgspec.DecodeError."""
    return _types_by_name[type_name].decode(body)


@register_message
class Refusal(msgspec.Struct, frozen=True):
    """A handler's ServingError, carried to the calling side."""

    number: int
    detail: str = ""
    retry_after: float | None = None
    outcome: str | None = None


@register_message
class Acknowledged(msgspec.Struct, frozen=True):
    """A reply without content."""


def refusal_of(error):
    """Returns the message that carries a ServingError."""
    return Refusal(
        number=error.code.number,
        detail=error.detail,
        retry_after=error.retry_after,
        outcome=str(error.outcome),
    )


def open_reply(kind, body):
    """Returns the message, or raises the ServingError that it carries."""
    reply = decode(kind, body)
    if isinstance(reply, Refusal):
        raise ServingError(
            codes_by_number.get(reply.number, ResultCode.INTERNAL),
            reply.detail,
            retry_after=reply.retry_after,
            outcome=Outcome(reply.outcome) if reply.outcome else None,
        )
    return reply
