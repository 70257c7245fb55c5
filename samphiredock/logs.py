"""Structured logs: one JSON object a line.

Writing never blocks: a reader that is too slow costs lines, which are
counted, and not the requests.
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
"""Names of levels that settings may state."""

BUFFER_LIMIT_BYTES = 262_144
"""What waits for a slow reader at most: some seconds of lines at 1,000 a
second, and a small part of a daemon's memory."""


class BoundedStream:
    """A text stream on a descriptor that does not block.

    Parameters
    ----------
    descriptor
        An open file or pipe; it is made non-blocking.
    limit_bytes
        What may wait; lines beyond are left out and counted.
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
        """Write as much as goes without waiting, and keep the rest."""
        data = text.encode('utf-8', 'replace')
        if len(self._buffer) + len(data) > self._limit_bytes:
            self.dropped += 1
            self._unreported += 1
            return len(text)
        if self._unreported and not self._buffer:
            self._buffer += _line(
                event='log lines left out', count=self._unreported
            )
            self._unreported = 0
        self._buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as it goes."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is no place left to say so.
            self.dropped += 1
            self._buffer.clear()


def _line(**fields: object) -> bytes:
    return msgspec.json.encode(fields, enc_hook=str) + b'\n'


def _time_text(moment: datetime.datetime) -> str:
    return moment.isoformat(timespec='milliseconds')


def time_text(wall_ms: float) -> str:
    """Return a time of day in ms since the epoch as lines state it, in UTC.

    For lines about something that happened earlier; given as ``time``, it
    takes the place of the time at which the line is written.
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
    """Return the logger of one part.

    Log with a fixed event text and keyword arguments for the facts:
    ``log.notice('configuration applied', revision=7)``.
    """
    return logbook.Logger(part)
