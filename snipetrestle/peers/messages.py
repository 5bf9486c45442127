"""Messages between daemons, sent as MessagePack inside a gRPC envelope.

Each subsystem defines its messages beside its code and registers them here, so that the
transports decode the messages of all subsystems.
"""

import msgspec

from snipetrestle import decoding
from snipetrestle.codes import Outcome, ResultCode, ServingError, codes_by_number

_types_by_name = {}


def register_message(message_type):
    """Registers a message type for decoding under its class name. A class decorator."""
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
    return decoding.decode(_types_by_name[type_name], body)


@register_message
class Refusal(msgspec.Struct, frozen=True):
    """Reply that reports a handler's ServingError to the caller."""

    number: int
    detail: str = ""
    retry_after: float | None = None
    outcome: str | None = None


@register_message
class Acknowledged(msgspec.Struct, frozen=True):
    """Reply without content."""


def refusal_of(error):
    """Returns the Refusal message for a ServingError."""
    return Refusal(
        number=error.code.number,
        detail=error.detail,
        retry_after=error.retry_after,
        outcome=str(error.outcome),
    )


def decode_reply(type_name, body):
    """Returns the decoded reply. Raises the ServingError that a Refusal carries."""
    reply = decode(type_name, body)
    if isinstance(reply, Refusal):
        raise ServingError(
            codes_by_number.get(reply.number, ResultCode.INTERNAL),
            reply.detail,
            retry_after=reply.retry_after,
            outcome=Outcome(reply.outcome) if reply.outcome else None,
        )
    return reply
