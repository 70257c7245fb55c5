"""Structured logs: one JSON object a line, for changes of state only."""

import sys
import typing

import logbook
import msgspec


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    row = {
        'time': record.time.isoformat(timespec='milliseconds'),
        'level': record.level_name.lower(),
        'part': record.channel,
        'event': record.message,
    }
    row.update(record.kwargs)
    return msgspec.json.encode(row, enc_hook=str).decode()


def set_up(level: str, stream: typing.TextIO = sys.stderr) -> None:
    """Send log lines of ``level`` and above to a stream."""
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.formatter = _format
    handler.push_application()


def logger(part: str) -> logbook.Logger:
    """Return the logger of one part.

    Log with a fixed event text and keyword arguments for the facts:
    ``log.notice('configuration applied', revision=7)``.
    """
    return logbook.Logger(part)
