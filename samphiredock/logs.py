"""Structured logs, one JSON object a line.

Writing to a :class:`BoundedStream` never blocks: if the reader is too slow,
lines are dropped and counted.
"""

import datetime
import os
import sys
import typing

import logbook
import msgspec

LEVELS = (
    'critical',
    'error',
    'warning',
    'notice',
    'info',
    'debug',
    'trace',
)
"""Log levels accepted in settings, the most severe first."""

BUFFER_LIMIT_BYTES = 262_144
"""Limit of buffered log lines, enough for a few seconds."""


class BoundedStream:
    """A non-blocking text stream with a bounded buffer.

    ``dropped`` counts the lines that did not fit into the buffer, and the
    flushes that lost the buffer because the reader had closed its end.

    Parameters
    ----------
    descriptor
        An open file or pipe; it is made non-blocking.
    limit_bytes
        The size of the buffer; lines beyond it are dropped.
    """

    def __init__(
        self, descriptor: int, limit_bytes: int = BUFFER_LIMIT_BYTES
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._unreported = 0
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write as much as possible without blocking; buffer the rest.

        Drops the text if it does not fit into the buffer.  Returns the length
        of the text in any case.
        """
        data = text.encode('utf-8', 'replace')
        if len(self._buffer) + len(data) > self._limit_bytes:
            self.dropped += 1
            self._unreported += 1
            return len(text)
        if self._unreported and not self._buffer:
            self._buffer += _json_line(
                event='log lines dropped', count=self._unreported
            )
            self._unreported = 0
        self._buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is nowhere to report it.
            self.dropped += 1
            self._buffer.clear()


def _json_line(**fields: object) -> bytes:
    return msgspec.json.encode(fields, enc_hook=str) + b'\n'


def _time_text(moment: datetime.datetime) -> str:
    return moment.isoformat(timespec='milliseconds')


def time_text(wall_ms: float) -> str:
    """Return a time in ms since the epoch as log lines show it, in UTC.

    Passed as the field ``time``, it replaces the time at which the line is
    written, for lines about an earlier event.
    """
    moment = datetime.datetime.fromtimestamp(wall_ms / 1000.0, datetime.UTC)
    return _time_text(moment.replace(tzinfo=None))


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    row = {
        'time': _time_text(record.time),
        'level': record.level_name.lower(),
        'part': record.channel,
        'event': record.message,
    }
    row.update(record.kwargs)
    return msgspec.json.encode(row, enc_hook=str).decode()


def set_up(
    level: str, stream: typing.TextIO | BoundedStream = sys.stderr
) -> None:
    """Send log lines of ``level`` and above to a stream."""
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.formatter = _format
    handler.push_application()


def logger(part: str) -> logbook.Logger:
    """Return the logger of one part of the program.

    Log a constant event text, with the facts as keyword arguments:
    ``log.notice('configuration applied', revision=7)``.
    """
    return logbook.Logger(part)
