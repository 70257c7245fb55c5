"""Keeps this daemon's share of the retry slack, by a list in the store."""

import asyncio
import typing

import msgspec
from returns import result

from samphiredock.coordination import _pause
from samphiredock.coordination import background
from samphiredock.coordination.forwarding import _retry_report
from samphiredock.coordination.forwarding import _share_history
from samphiredock.coordination.search import _arrival
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

SHARERS_KEY = 'samphiredock-retries/sharers'

READ_INTERVAL_MS = 5_000.0
"""Interval of reads of the list: a lease outlasts one that fails."""

_START_INTERVAL_MS = 1_700.0
_START_READS = 5
"""Interval and greatest number of the reads after a first start, whose shares
need not settle."""

_RETRY_MS = 100.0
"""Interval of checks, without a read, until any coordinator is known."""

_log = logs.logger('retries')


class _Stored(msgspec.Struct, frozen=True):
    """The list of sharers in the store."""

    generation: int
    names: tuple[str, ...]
    before: tuple[str, ...] = ()
    era: int = 0


_decode = msgspec.json.Decoder(_Stored).decode


class RetryShares:
    """Reads the list of sharers, and writes it when daemons come or go.

    Only coordinators have a share.  A daemon that coordinates for a while, or
    has no contact with the store, sends extra requests only as far as its own
    requests have earned them.

    Parameters
    ----------
    name
        This daemon.
    store
        The object store.
    clock, counters
        The timers and metrics of this daemon.
    coordinators
        Returns the names of the daemons that coordinate.
    window_ms
        Length of the windows of the budget.
    is_first_start
        Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        name: str,
        store: transport.Objects,
        clock: timers.Timers,
        counters: metrics.Metrics,
        coordinators: typing.Callable[[], typing.AbstractSet[str]],
        window_ms: float,
        is_first_start: bool = False,
    ) -> None:
        self._name = name
        self._store = store
        self._clock = clock
        self._metrics = counters
        self._coordinators = coordinators
        self._window_ms = window_ms
        self._is_first_start = is_first_start
        self._history = _share_history.ShareHistory(
            name, self._settle_ms, is_first_start, clock.now_ms()
        )
        self._policy = _share_history.SharerPolicy(name)
        self._task: asyncio.Task | None = None
        self._logged: tuple[float, int | None] = (0.0, None)

    def set_window_ms(self, window_ms: float) -> None:
        """Change the length of the windows."""
        self._window_ms = window_ms

    def start(self) -> None:
        """Start to follow the list in the background."""
        self._task = background.start_loop(
            self._run, 'retry shares', self._clock, self._metrics
        )

    def close(self) -> None:
        """Stop following the list."""
        if self._task is not None:
            self._task.cancel()

    def share(self) -> float:
        """Return the share of the slack that may be used now, 0 to 1."""
        return self._history.share(self._clock.now_ms(), self._store.era())

    def allowance(self) -> _retry_report.Allowance:
        """Return the share, and how many daemons have one."""
        return _retry_report.Allowance(
            self.share(), len(self._history.sharers.names) or None
        )

    def _settle_ms(self) -> float:
        return self._window_ms + _arrival.MAX_TRANSIT_MS

    async def _run(self) -> None:
        number = 0
        while True:
            number += bool(self._coordinators())
            if self._name in self._coordinators():
                await self._follow()
            self._log_changed_share()
            await _pause.pause(self._clock, self._interval_ms(number))

    def _interval_ms(self, number: int) -> float:
        """Return how long to wait after turn ``number``."""
        if not self._coordinators():
            return _RETRY_MS
        is_first = self._is_first_start and number < _START_READS
        if is_first and not self.share():
            return _START_INTERVAL_MS
        return READ_INTERVAL_MS

    async def _follow(self) -> None:
        """Read the list once, and write it if daemons have come or gone."""
        reading = await self._read()
        if reading is None:
            return
        self._history.on_read(reading)
        names = self._policy.next_names(
            reading, self._coordinators(), self._clock.now_ms()
        )
        if names is not None:
            await self._write(reading, names)

    async def _read(self) -> _share_history.Reading | None:
        """Read the list; None if that fails or the store has lost writes.

        A reply that came while the era changed may be of either.
        """
        sent_ms, era = self._clock.now_ms(), self._store.era()
        reply = await self._store.get(SHARERS_KEY)
        if self._store.era() != era:
            return None
        if isinstance(reply, result.Success):
            sharers = _read_list(reply.unwrap())
        elif reply.failure().kind is transport.StoreErrorKind.NOT_FOUND:
            sharers = _share_history.SharerList()
        else:
            return None
        return _share_history.Reading(
            sent_ms, self._clock.now_ms(), era, sharers
        )

    async def _write(
        self, reading: _share_history.Reading, names: tuple[str, ...]
    ) -> None:
        """Write the list unless it has changed; the next read shows it."""
        before = reading.sharers
        value = msgspec.json.encode(
            _Stored(before.generation + 1, names, before.names, reading.era)
        )
        reply = await self._store.put(SHARERS_KEY, value, before.version)
        written = isinstance(reply, result.Success)
        _log.notice(
            'sharers changed' if written else 'sharers not changed',
            sharers=len(names),
            before=len(before.names),
            generation=before.generation + 1,
            why='' if written else reply.failure().detail[:200],
        )

    def _log_changed_share(self) -> None:
        allowance = self.allowance()
        now = (round(allowance.share, 4), allowance.sharers)
        if now != self._logged:
            self._logged = now
            _log.notice('retry share', share=now[0], sharers=now[1])


def _read_list(
    stored: transport.StoredObject,
) -> _share_history.SharerList:
    """Return a stored list; one that cannot be read gives nobody a share."""
    try:
        read = _decode(stored.value)
    except protocol.DECODE_ERRORS as error:
        _log.error('object cannot be read', key=stored.key, why=str(error))
        return _share_history.SharerList(stored.version)
    names = tuple(dict.fromkeys(read.names))
    return _share_history.SharerList(
        stored.version, read.generation, names, read.before, read.era
    )
