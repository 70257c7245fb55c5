"""Connections to targets that are asked directly."""

import asyncio
import collections
import dataclasses
import typing

from returns import result

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock.transport import _http_channel
from samphiredock.transport import _target_http

CONNECT_LIMIT_MS = 300.0
"""Within a region a connection takes a few ms; the first packet is repeated
after 1 s, which is too late for the caller."""

_IDLE_MARGIN_MS = 300.0
"""A connection is not used when its target may be closing it: the request
would be cut, and could not be repeated if it must run once."""

_IDLE_LIMIT_MS = 15_000.0
"""How long an idle connection is kept if the target says nothing."""

_Kind = _target_http.LinkErrorKind


@dataclasses.dataclass(slots=True)
class _Idle:
    channel: _http_channel.HttpChannel
    until_ms: float


class _Pool:
    """The connections to one target."""

    def __init__(self) -> None:
        self.idle: list[_Idle] = []
        self.open = 0
        self.waiters: collections.deque[asyncio.Future] = collections.deque()

    def wake(self) -> None:
        """Let one exchange that waits for a connection look again."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class ChannelPool:
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
    ) -> result.Result[protocol.HttpReply, _target_http.LinkError]:
        """Send a request once and return its answer."""
        ends_ms = self._clock.now_ms() + timeout_ms
        pool = self._pools[target.target_id]
        channel = await self._acquire(pool, target, ends_ms)
        if isinstance(channel, _target_http.LinkError):
            return result.Failure(channel)
        keep_ms: float | None = None
        try:
            async with asyncio.timeout(self._left_s(ends_ms)):
                outcome = await channel.exchange(request, is_reply)
        except TimeoutError:
            return _failure(_Kind.SILENT, f'no answer in {timeout_ms:.0f} ms')
        else:
            if isinstance(outcome, _target_http.LinkError):
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
        if isinstance(channel, _target_http.LinkError):
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
        self, pool: _Pool, target: state.LiveTarget, ends_ms: float
    ) -> _http_channel.HttpChannel | _target_http.LinkError:
        while True:
            kept = self._take_idle(pool)
            if kept is not None:
                return kept
            if pool.open < max(1, self._limit(target)):
                return await self._connect(pool, target, ends_ms)
            waiter = asyncio.get_running_loop().create_future()
            pool.waiters.append(waiter)
            try:
                async with asyncio.timeout(self._left_s(ends_ms)):
                    await waiter
            except TimeoutError:
                return _target_http.LinkError(
                    _Kind.UNREACHABLE, 'no free connection'
                )

    def _take_idle(self, pool: _Pool) -> _http_channel.HttpChannel | None:
        now_ms = self._clock.now_ms()
        while pool.idle:
            row = pool.idle.pop()
            if row.channel.is_open and now_ms < row.until_ms:
                return row.channel
            row.channel.close()
            pool.open -= 1
        return None

    async def _connect(
        self, pool: _Pool, target: state.LiveTarget, ends_ms: float
    ) -> _http_channel.HttpChannel | _target_http.LinkError:
        pool.open += 1
        connected = False
        limit_s = min(CONNECT_LIMIT_MS / 1000.0, self._left_s(ends_ms))
        try:
            async with asyncio.timeout(limit_s):
                channel = await _http_channel.open_channel(target.address)
            connected = True
            return channel
        except TimeoutError:
            return _target_http.LinkError(
                _Kind.UNREACHABLE, f'no connection in {limit_s * 1000:.0f} ms'
            )
        except OSError as error:
            return _target_http.LinkError(_Kind.UNREACHABLE, str(error))
        finally:
            if not connected:
                pool.open -= 1
                pool.wake()

    def _release(
        self,
        pool: _Pool,
        target: state.LiveTarget,
        channel: _http_channel.HttpChannel,
        keep_ms: float | None,
    ) -> None:
        if pool.open > max(1, self._limit(target)):
            # More daemons share the target's connections than before.
            channel.close()
        if channel.is_open:
            limit_ms = _IDLE_LIMIT_MS if keep_ms is None else keep_ms
            until_ms = self._clock.now_ms() + limit_ms - _IDLE_MARGIN_MS
            pool.idle.append(_Idle(channel, until_ms))
        else:
            pool.open -= 1
        pool.wake()


def _failure(
    kind: _target_http.LinkErrorKind, detail: str
) -> result.Failure[_target_http.LinkError]:
    return result.Failure(_target_http.LinkError(kind, detail))
