"""Pools of HTTP connections to targets."""

import asyncio
import collections
import math
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock.transport import _http_connection
from samphiredock.transport import _link_errors
from samphiredock.transport import _target_pool

CONNECT_TIMEOUT_MS = 300.0
"""Shorter than TCP's first SYN retransmission after 1 s, which would be too
late for the caller."""

_CONNECT_GRACE_MS = 20.0
"""Time after the timeout to process a connection that is open already.  If
this process was suspended or busy, it sees the timeout first; the target would
count as unreachable, or even as crashed."""

_IDLE_MARGIN_MS = 300.0
"""A connection is not reused this close to its idle timeout: the target may
be closing it, and a request lost on it cannot be repeated if it must run at
most once."""

_DEFAULT_IDLE_LIMIT_MS = 15_000.0
"""How long an idle connection is kept if the target states no timeout."""

_RECHECK_MS = 200.0
"""How often a waiting exchange checks the connection limit again.  The end
of another exchange wakes it, a raised limit does not."""

_DROPPED_RESET_WITHIN_MS = 5.0
"""A target that has silently dropped an idle connection resets the next
request on it within this time.  A later reset comes from a target that worked
on the request and lost the answer; taken for a dropped connection, it would
make the pool replace good connections: with 20 ms, a day of trouble opened
9,000 connections instead of 4,600, each of which holds a slot for 6 ms.  The
round trip between sites takes 3 ms."""

_MIN_DROPPED_IDLE_MS = 100.0
"""A connection that was idle for less is not assumed to have been dropped."""

_Kind = _link_errors.LinkErrorKind

_Connect = typing.Callable[
    [str],
    typing.Coroutine[typing.Any, typing.Any, _http_connection.HttpConnection],
]

_NOT_WANTED = _link_errors.LinkError(
    _Kind.NO_CONNECTION, 'the reply is no longer wanted'
)


class ConnectionPool:
    """Keeps HTTP connections open for reuse, up to a limit for each target.

    Parameters
    ----------
    clock
        The timers of this daemon.
    limit
        Returns how many connections this daemon may have to a target; at
        least one is always allowed.
    connect
        Connects to the address of a target, ``IP:port``; raises ``OSError``
        if that fails.
    """

    def __init__(
        self,
        clock: timers.Timers,
        limit: typing.Callable[[state.LiveTarget], int],
        connect: _Connect | None = None,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._connect_to = connect or _connect_to_address
        self._pools: dict[str, _target_pool.TargetPool] = (
            collections.defaultdict(_target_pool.TargetPool)
        )

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
        """Send a request at most once and return its reply.

        Parameters
        ----------
        target, request
            The target, and the request to send to it.
        timeout_ms
            Bound on getting a connection and the reply together.
        is_reply
            Returns whether a reply belongs to this request; replies to other
            requests are skipped.
        max_idle_ms
            A pooled connection that has been idle for longer is not used:
            the target may have dropped it, and the request would be lost.
        is_wanted
            Returns whether the reply is still of use.  It is checked after
            waiting for a connection, since a request that is sent and then
            cancelled costs its connection.
        on_chunk
            Called with each chunk of the reply as it arrives; the body of
            the returned reply does not contain them.
        on_send
            Called just before the request is written.
        """
        ends_ms = self._clock.now_ms() + timeout_ms
        pool = self._pools[target.target_id]
        acquired = await self._acquire(
            pool, target, ends_ms, request.request_id, max_idle_ms, is_wanted
        )
        if isinstance(acquired, _link_errors.LinkError):
            return result.Failure(acquired)
        if not is_wanted():
            self._put_back(pool, target, acquired)
            return result.Failure(_NOT_WANTED)
        on_send()
        connection = acquired.connection
        sent_ms = self._clock.now_ms()
        idle_ms = (
            sent_ms - acquired.idle_since_ms if acquired.was_pooled else 0.0
        )
        keepalive_ms: float | None = None
        try:
            outcome = await connection.exchange(
                request, is_reply, ends_ms - sent_ms, on_chunk
            )
            if isinstance(outcome, _link_errors.LinkError):
                now_ms = self._clock.now_ms()
                if (
                    outcome.kind is _Kind.BROKEN
                    and idle_ms >= _MIN_DROPPED_IDLE_MS
                    and now_ms - sent_ms <= _DROPPED_RESET_WITHIN_MS
                ):
                    pool.learn_idle_limit(idle_ms, now_ms)
                return result.Failure(outcome)
            keepalive_ms = outcome.keepalive_ms
            return result.Success(outcome.reply)
        finally:
            self._release(pool, target, connection, keepalive_ms)

    async def warm(self, target: state.LiveTarget) -> None:
        """Open a connection to a target unless one is open already."""
        if not self._pools[target.target_id].open_count:
            await self.is_listening(target)

    async def is_listening(self, target: state.LiveTarget) -> bool:
        """Return whether a new connection to a target can be opened.

        The connection is added to the pool.
        """
        pool = self._pools[target.target_id]
        ends_ms = self._clock.now_ms() + CONNECT_TIMEOUT_MS
        connection = await self._connect(pool, target, ends_ms)
        if isinstance(connection, _link_errors.LinkError):
            return False
        self._release(pool, target, connection, None)
        return True

    def forget(self, target: state.LiveTarget) -> None:
        """Close the idle connections to a target and drop its pool.

        Connections in use are closed at the end of their exchange.
        """
        pool = self._pools.pop(target.target_id, None)
        if pool is not None:
            for idle in pool.idle:
                idle.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            for idle in pool.idle:
                idle.connection.close()

    def _remaining_s(self, ends_ms: float) -> float:
        return max(0.001, (ends_ms - self._clock.now_ms()) / 1000.0)

    async def _acquire(
        self,
        pool: _target_pool.TargetPool,
        target: state.LiveTarget,
        ends_ms: float,
        request_id: str,
        max_idle_ms: float,
        is_wanted: typing.Callable[[], bool],
    ) -> _target_pool.IdleConnection | _link_errors.LinkError:
        """Return a pooled connection or a new one."""
        has_waited = False
        while True:
            idle = self._take_idle(pool, request_id, max_idle_ms)
            if idle is not None:
                return idle
            limit = max(1, self._limit(target))
            while pool.idle and pool.open_count >= limit:
                # Makes room for a new connection by closing the one idle for
                # longest.  If the limit has fallen, several must be closed:
                # when no exchange is running, nothing else makes room.
                pool.idle.pop(0).connection.close()
                pool.open_count -= 1
            if pool.open_count < limit:
                opened = await self._connect(pool, target, ends_ms)
                if isinstance(opened, _link_errors.LinkError):
                    return opened
                return self._as_idle(opened, None)
            if self._clock.now_ms() >= ends_ms:
                return _link_errors.LinkError(
                    _Kind.NO_CONNECTION, 'no free connection'
                )
            await self._wait(pool, ends_ms, has_waited)
            has_waited = True
            if not is_wanted():
                pool.wake()
                return _NOT_WANTED

    def _take_idle(
        self,
        pool: _target_pool.TargetPool,
        request_id: str,
        max_idle_ms: float,
    ) -> _target_pool.IdleConnection | None:
        """Remove and return an idle connection that may carry a request.

        It is the one used last of those that have not carried an earlier
        attempt of the request, whose late second reply would be taken for
        the reply to this attempt.
        """
        self._drop_stale(pool)
        for position in reversed(range(len(pool.idle))):
            idle = pool.idle[position]
            if self._idle_ms(idle) > max_idle_ms:
                return None
            if not self._is_usable(pool, idle):
                continue
            if not idle.connection.has_carried(request_id):
                return pool.idle.pop(position)
        return None

    async def _wait(
        self, pool: _target_pool.TargetPool, ends_ms: float, has_waited: bool
    ) -> None:
        """Wait until woken, at most until the next check is due."""
        waiter = asyncio.get_running_loop().create_future()
        if has_waited:
            # Keeps its place ahead of exchanges that came later.
            pool.waiters.appendleft(waiter)
        else:
            pool.waiters.append(waiter)
        limit_s = min(self._remaining_s(ends_ms), _RECHECK_MS / 1000.0)
        try:
            await asyncio.wait((waiter,), timeout=limit_s)
        except asyncio.CancelledError:
            if waiter.done():
                # It was woken for a free connection: pass that on.
                pool.wake()
            raise
        finally:
            # wake() skips waiters that are done.
            waiter.cancel()

    def has_room(self, target: state.LiveTarget) -> bool:
        """Return whether an exchange would get a connection at once."""
        pool = self._pools[target.target_id]
        return bool(pool.idle) or pool.open_count < max(1, self._limit(target))

    def _as_idle(
        self,
        connection: _http_connection.HttpConnection,
        keepalive_ms: float | None,
    ) -> _target_pool.IdleConnection:
        now_ms = self._clock.now_ms()
        limit_ms = (
            _DEFAULT_IDLE_LIMIT_MS if keepalive_ms is None else keepalive_ms
        )
        return _target_pool.IdleConnection(
            connection, now_ms, now_ms + limit_ms - _IDLE_MARGIN_MS
        )

    def _put_back(
        self,
        pool: _target_pool.TargetPool,
        target: state.LiveTarget,
        idle: _target_pool.IdleConnection,
    ) -> None:
        """Put an acquired but unused connection back into the pool."""
        if (
            self._pools.get(target.target_id) is pool
            and idle.connection.is_open
        ):
            pool.idle.append(idle)
        else:
            idle.connection.close()
            pool.open_count -= 1
        pool.wake()

    def _idle_ms(self, idle: _target_pool.IdleConnection) -> float:
        return self._clock.now_ms() - idle.idle_since_ms

    def _drop_stale(self, pool: _target_pool.TargetPool) -> None:
        """Close connections that must not be reused.

        Begins at the most recently used one, which is also reused first, and
        stops at the first that is usable: the others need no check yet.
        """
        while pool.idle and not self._is_usable(pool, pool.idle[-1]):
            pool.idle.pop().connection.close()
            pool.open_count -= 1

    def _is_usable(
        self, pool: _target_pool.TargetPool, idle: _target_pool.IdleConnection
    ) -> bool:
        now_ms = self._clock.now_ms()
        return (
            idle.connection.is_open
            and now_ms < idle.expires_ms
            and self._idle_ms(idle) <= pool.idle_limit_ms(now_ms)
        )

    async def _connect(
        self,
        pool: _target_pool.TargetPool,
        target: state.LiveTarget,
        ends_ms: float,
    ) -> _http_connection.HttpConnection | _link_errors.LinkError:
        pool.open_count += 1
        connected = False
        limit_s = min(CONNECT_TIMEOUT_MS / 1000.0, self._remaining_s(ends_ms))
        try:
            connection = await _open_in_time(
                self._connect_to(target.address), limit_s
            )
            connected = True
            return connection
        except TimeoutError:
            return _link_errors.LinkError(
                _Kind.UNREACHABLE, f'no connection in {limit_s * 1000:.0f} ms'
            )
        except OSError as error:
            return _link_errors.LinkError(_Kind.UNREACHABLE, str(error))
        finally:
            if not connected:
                pool.open_count -= 1
                pool.wake()

    def _release(
        self,
        pool: _target_pool.TargetPool,
        target: state.LiveTarget,
        connection: _http_connection.HttpConnection,
        keepalive_ms: float | None,
    ) -> None:
        if self._pools.get(target.target_id) is not pool:
            # The target was forgotten meanwhile: nothing would reuse or
            # close the connection.
            connection.close()
        elif pool.open_count > max(1, self._limit(target)):
            # The limit fell, for example because more daemons share the
            # target.
            connection.close()
        if connection.is_open:
            idle = self._as_idle(connection, keepalive_ms)
            idle.was_pooled = True
            pool.idle.append(idle)
        else:
            pool.open_count -= 1
        pool.wake()


async def _connect_to_address(
    address: str,
) -> _http_connection.HttpConnection:
    host, _, port = address.rpartition(':')
    return await _http_connection.open_connection(host, int(port))


async def _open_in_time(
    opening: typing.Coroutine[
        typing.Any, typing.Any, _http_connection.HttpConnection
    ],
    limit_s: float,
) -> _http_connection.HttpConnection:
    """Return an opened connection; raises ``TimeoutError`` or ``OSError``."""
    task = asyncio.ensure_future(opening)
    try:
        for timeout_s in (limit_s, _CONNECT_GRACE_MS / 1000.0):
            done, _ = await asyncio.wait((task,), timeout=timeout_s)
            if done:
                return task.result()
        raise TimeoutError
    except asyncio.CancelledError:
        if task.done() and task.exception() is None:
            task.result().close()
        raise
    finally:
        task.cancel()
