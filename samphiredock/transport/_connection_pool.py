"""Connections to targets that are asked directly."""

import asyncio
import collections
import dataclasses
import math
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock.transport import _http_connection
from samphiredock.transport import _link_errors

CONNECT_LIMIT_MS = 300.0
"""Within a region a connection takes a few ms; the first packet is repeated
after 1 s, which is too late for the caller."""

_IDLE_MARGIN_MS = 300.0
"""A connection is not used when its target may be closing it: the request
would be cut, and could not be repeated if it must run once."""

_IDLE_LIMIT_MS = 15_000.0
"""How long an idle connection is kept if the target says nothing."""

_LOOK_AGAIN_MS = 200.0
"""How long an exchange waits for a connection before it looks for room again:
the end of another exchange wakes it, a limit that has risen does not."""

_FORGOTTEN_WITHIN_MS = 5.0
"""A target that has forgotten a connection resets what is sent on it at
once: 3 ms there and back between sites, and a busy loop.  Work of a target
that loses its answer takes longer; with 20 ms here, lost answers were taken
for forgotten connections, and a day of trouble opened 9,000 connections in
place of 4,600, each of which holds a slot for 6 ms."""

_LESSON_LEAST_MS = 100.0
"""A connection that was idle for less was not forgotten."""

_LESSON_SHARE = 0.8
"""Part of the idle time after which a connection was found forgotten that
the next ones may be idle."""

_LESSON_MS = 10_000.0
"""How long the lesson holds; targets are replaced, and their limits with
them."""

_Kind = _link_errors.LinkErrorKind


_UNWANTED = _link_errors.LinkError(_Kind.NO_CONNECTION, 'not wanted any more')


@dataclasses.dataclass(slots=True)
class _Idle:
    """A connection that nothing runs on.

    It was used, or made, at ``since_ms``, and the target may close it from
    ``until_ms`` on.  ``was_kept`` says that it has been idle between two
    exchanges.
    """

    channel: _http_connection.HttpConnection
    since_ms: float
    until_ms: float
    was_kept: bool = False


class _Pool:
    """The connections to one target.

    ``forgets_ms`` is after how long the target forgets an idle connection
    without a word, as far as it has shown; it holds until ``lesson_ms``.
    """

    def __init__(self) -> None:
        self.idle: list[_Idle] = []
        self.open = 0
        self.forgets_ms = math.inf
        self.lesson_ms = 0.0
        self.waiters: collections.deque[asyncio.Future] = collections.deque()

    def wake(self) -> None:
        """Let one exchange that waits for a connection look again."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def learn(self, idle_ms: float, now_ms: float) -> None:
        """A connection that was idle for so long had been forgotten."""
        known_ms = self.idle_limit_ms(now_ms)
        self.forgets_ms = min(known_ms, idle_ms * _LESSON_SHARE)
        self.lesson_ms = now_ms + _LESSON_MS

    def idle_limit_ms(self, now_ms: float) -> float:
        """Return how long a connection may be idle and be used again."""
        return self.forgets_ms if now_ms < self.lesson_ms else math.inf


class ConnectionPool:
    """Kept connections, at most ``limit`` to each target.

    Parameters
    ----------
    clock
        The timers of this daemon.
    limit
        How many connections a target may have from this daemon.
    """

    def __init__(
        self,
        clock: timers.Timers,
        limit: typing.Callable[[state.LiveTarget], int],
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._pools: dict[str, _Pool] = collections.defaultdict(_Pool)

    async def exchange(
        self,
        target: state.LiveTarget,
        request: protocol.HttpRequest,
        timeout_ms: float,
        is_reply: typing.Callable[[protocol.HttpReply], bool],
        max_idle_ms: float = math.inf,
        is_wanted: typing.Callable[[], bool] = lambda: True,
        on_chunk: _http_connection.OnChunk | None = None,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> result.Result[protocol.HttpReply, _link_errors.LinkError]:
        """Send a request once and return its answer.

        Parameters
        ----------
        target, request
            What is sent where.
        timeout_ms
            For connection and answer together.
        is_reply
            Whether an answer belongs to this request.
        max_idle_ms
            How long a kept connection may have been idle; one that was
            idle longer may be forgotten at the target, and the request
            would be lost on it.
        is_wanted
            Whether the answer is still of use.  What waited for a
            connection until nobody wanted it is not sent: after a kill of
            all daemons 234 of 251 exchanges in 0.1 s went on new
            connections, since such requests were cut with theirs, and an
            exchange waited 110 to 150 ms for one (log lines of one played
            day; 0.50 to 0.56 of the benefit of those two seconds).
        on_chunk
            Takes each chunk of the answer as it comes; they are not in the
            body then.
        on_send
            Called in the turn in which the request goes out.
        """
        ends_ms = self._clock.now_ms() + timeout_ms
        pool = self._pools[target.target_id]
        taken = await self._acquire(
            pool, target, ends_ms, max_idle_ms, is_wanted
        )
        if isinstance(taken, _link_errors.LinkError):
            return result.Failure(taken)
        if not is_wanted():
            self._put_back(pool, target, taken)
            return result.Failure(_UNWANTED)
        on_send()
        channel = taken.channel
        sent_ms = self._clock.now_ms()
        idle_ms = sent_ms - taken.since_ms if taken.was_kept else 0.0
        keep_ms: float | None = None
        try:
            outcome = await channel.exchange(
                request, is_reply, ends_ms - sent_ms, on_chunk
            )
            if isinstance(outcome, _link_errors.LinkError):
                now_ms = self._clock.now_ms()
                if (
                    outcome.kind is _Kind.BROKEN
                    and idle_ms >= _LESSON_LEAST_MS
                    and now_ms - sent_ms <= _FORGOTTEN_WITHIN_MS
                ):
                    pool.learn(idle_ms, now_ms)
                return result.Failure(outcome)
            keep_ms = outcome.keep_ms
            return result.Success(outcome.reply)
        finally:
            self._release(pool, target, channel, keep_ms)

    async def warm(self, target: state.LiveTarget) -> None:
        """Open a connection to a target that has none yet."""
        if not self._pools[target.target_id].open:
            await self.is_listening(target)

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Whether a target takes connections; the one made is kept."""
        pool = self._pools[target.target_id]
        ends_ms = self._clock.now_ms() + CONNECT_LIMIT_MS
        channel = await self._connect(pool, target, ends_ms)
        if isinstance(channel, _link_errors.LinkError):
            return False
        self._release(pool, target, channel, None)
        return True

    def forget(self, target: state.LiveTarget) -> None:
        """Close the idle connections to a target that is gone."""
        pool = self._pools.pop(target.target_id, None)
        if pool is not None:
            for row in pool.idle:
                row.channel.close()

    def close(self) -> None:
        """Close every idle connection."""
        for pool in self._pools.values():
            for row in pool.idle:
                row.channel.close()

    def _left_s(self, ends_ms: float) -> float:
        return max(0.001, (ends_ms - self._clock.now_ms()) / 1000.0)

    async def _acquire(
        self,
        pool: _Pool,
        target: state.LiveTarget,
        ends_ms: float,
        max_idle_ms: float,
        is_wanted: typing.Callable[[], bool],
    ) -> _Idle | _link_errors.LinkError:
        """Return a kept connection or a new one."""
        has_waited = False
        while True:
            self._drop_stale(pool)
            if pool.idle and self._idle_ms(pool.idle[-1]) <= max_idle_ms:
                return pool.idle.pop()
            limit = max(1, self._limit(target))
            while pool.idle and pool.open >= limit:
                # Room for a new one: the longest idle is of least use.  One
                # is not enough where the limit has fallen: without room, and
                # with nothing under way, no turn would ever come.
                pool.idle.pop(0).channel.close()
                pool.open -= 1
            if pool.open < limit:
                made = await self._connect(pool, target, ends_ms)
                if isinstance(made, _link_errors.LinkError):
                    return made
                return self._idle_from_now(made, None)
            if self._clock.now_ms() >= ends_ms:
                return _link_errors.LinkError(
                    _Kind.NO_CONNECTION, 'no free connection'
                )
            await self._wait(pool, ends_ms, has_waited)
            has_waited = True
            if not is_wanted():
                pool.wake()
                return _UNWANTED

    async def _wait(
        self, pool: _Pool, ends_ms: float, has_waited: bool
    ) -> None:
        """Wait for a turn to look again, or until it is time to."""
        waiter = asyncio.get_running_loop().create_future()
        if has_waited:
            # Before those that came later.
            pool.waiters.appendleft(waiter)
        else:
            pool.waiters.append(waiter)
        limit_s = min(self._left_s(ends_ms), _LOOK_AGAIN_MS / 1000.0)
        try:
            await asyncio.wait((waiter,), timeout=limit_s)
        except asyncio.CancelledError:
            if waiter.done():
                # Its turn had come: the next one would wait for nothing.
                pool.wake()
            raise
        finally:
            # One that has not come goes to the next that waits.
            waiter.cancel()

    def has_room(self, target: state.LiveTarget) -> bool:
        """Whether an exchange would get a connection without waiting."""
        pool = self._pools[target.target_id]
        return bool(pool.idle) or pool.open < max(1, self._limit(target))

    def _idle_from_now(
        self, channel: _http_connection.HttpConnection, keep_ms: float | None
    ) -> _Idle:
        now_ms = self._clock.now_ms()
        limit_ms = _IDLE_LIMIT_MS if keep_ms is None else keep_ms
        return _Idle(channel, now_ms, now_ms + limit_ms - _IDLE_MARGIN_MS)

    def _put_back(
        self, pool: _Pool, target: state.LiveTarget, row: _Idle
    ) -> None:
        """Return a connection that was taken and not used."""
        if self._pools.get(target.target_id) is pool and row.channel.is_open:
            pool.idle.append(row)
        else:
            row.channel.close()
            pool.open -= 1
        pool.wake()

    def _idle_ms(self, row: _Idle) -> float:
        return self._clock.now_ms() - row.since_ms

    def _drop_stale(self, pool: _Pool) -> None:
        """Close the connections that must not be used again, the last first.

        The last one was idle for the shortest time: if it is sound, it is
        the one to use, and what lies below it can wait.
        """
        now_ms = self._clock.now_ms()
        limit_ms = pool.idle_limit_ms(now_ms)
        while pool.idle:
            row = pool.idle[-1]
            sound = row.channel.is_open and now_ms < row.until_ms
            if sound and self._idle_ms(row) <= limit_ms:
                return
            pool.idle.pop().channel.close()
            pool.open -= 1

    async def _connect(
        self, pool: _Pool, target: state.LiveTarget, ends_ms: float
    ) -> _http_connection.HttpConnection | _link_errors.LinkError:
        pool.open += 1
        connected = False
        limit_s = min(CONNECT_LIMIT_MS / 1000.0, self._left_s(ends_ms))
        try:
            async with asyncio.timeout(limit_s):
                channel = await _http_connection.open_connection(
                    target.address
                )
            connected = True
            return channel
        except TimeoutError:
            return _link_errors.LinkError(
                _Kind.UNREACHABLE, f'no connection in {limit_s * 1000:.0f} ms'
            )
        except OSError as error:
            return _link_errors.LinkError(_Kind.UNREACHABLE, str(error))
        finally:
            if not connected:
                pool.open -= 1
                pool.wake()

    def _release(
        self,
        pool: _Pool,
        target: state.LiveTarget,
        channel: _http_connection.HttpConnection,
        keep_ms: float | None,
    ) -> None:
        if self._pools.get(target.target_id) is not pool:
            # Forgotten meanwhile: it would stay open, and be used by nobody.
            channel.close()
        elif pool.open > max(1, self._limit(target)):
            # More daemons share the target's connections than before.
            channel.close()
        if channel.is_open:
            row = self._idle_from_now(channel, keep_ms)
            row.was_kept = True
            pool.idle.append(row)
        else:
            pool.open -= 1
        pool.wake()
