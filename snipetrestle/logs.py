"""Set-up of loguru from a daemon's settings, with JSON lines or text output."""

import sys

import msgspec
from loguru import logger

_encoder = msgspec.json.Encoder(enc_hook=str)
_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} {extra[event]} {message}"
    "{extra[fields]}\n"
)


class LogSettings(msgspec.Struct, frozen=True):
    """``format`` is ``json`` or ``text``; ``level`` is a loguru level."""

    format: str = "json"
    level: str = "INFO"


def set_up_logs(settings, stream=None):
    """Replaces all log sinks by one that writes to ``stream`` or standard error."""
    stream = stream or sys.stderr
    logger.remove()
    if settings.format == "json":

        def sink(message):
            stream.write(json_line(message.record))

        logger.add(sink, level=settings.level, format="{message}")
        return
    logger.add(stream, level=settings.level, format=_text_line, colorize=False)


def json_line(record):
    """Returns a log record as a JSON line, with the event's fields at its top level."""
    item = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    return _encoder.encode(item).decode() + "\n"


def _text_line(record):
    extra = record["extra"]
    extra.setdefault("event", "-")
    fields = [
        f" {name}={value}"
        for name, value in extra.items()
        if name not in ("event", "fields")
    ]
    # Passed as a field, since loguru would interpret braces in the format.
    extra["fields"] = "".join(fields)
    return _TEXT_FORMAT
