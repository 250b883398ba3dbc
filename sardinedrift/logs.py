"""Log output as text or JSON, with key secrets redacted."""

import re
import sys
from typing import TYPE_CHECKING, TextIO

import msgspec
from loguru import logger

from sardinedrift.identifiers import SECRET_PREFIX, Identity
from sardinedrift.settings import Logs

if TYPE_CHECKING:
    from loguru import Message

_SECRET = re.compile(
    rf"{SECRET_PREFIX}[A-Za-z0-9_-]{{8,}}"
    r"|(?<=sardinedrift-key)([\"']?\s*[:=,]\s*(?:b?[\"'])?)[^\s\"',}\])]+",
    re.IGNORECASE,
)
_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} "
    "{extra[data_centre]}/{extra[instance]} {message}\n{exception}"
)


def redact(text: str) -> str:
    """Returns a text with every key secret replaced by `[key]`."""
    return _SECRET.sub(lambda match: (match.group(1) or "") + "[key]", text)


def configure(
    settings: Logs, identity: Identity, stream: TextIO | None = None
) -> None:
    """Sends the log of this process to a stream.

    Args:
        settings: minimum level and format.
        identity: entry id and data centre that every line carries.
        stream: the output; standard error by default.
    """
    target = stream or sys.stderr

    def write(message: "Message") -> None:
        # A bound field or the text of an exception may also contain a secret,
        # so the whole line is redacted, not only the message.
        if settings.format == "json":
            target.write(_json_line(message))
        else:
            target.write(redact(message))
        target.flush()

    logger.remove()
    logger.configure(
        extra={
            "instance": identity.entry_id,
            "data_centre": identity.data_centre_id,
        }
    )
    # With `diagnose`, a traceback would show the values of variables.
    logger.add(
        write,
        level=settings.level,
        format=lambda record: _TEXT_FORMAT,
        diagnose=False,
        backtrace=False,
        colorize=False,
    )


def _json_line(message: "Message") -> str:
    record = message.record
    line = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        "module": record["name"],
        "message": record["message"],
        **{key: str(value) for key, value in record["extra"].items()},
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    redacted = {
        key: redact(value) if isinstance(value, str) else value
        for key, value in line.items()
    }
    return msgspec.json.encode(redacted).decode() + "\n"
