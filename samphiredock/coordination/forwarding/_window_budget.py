"""The share of a common budget for repeated sub-queries that is ours.

All daemons together may send a service ``ratio`` extra requests for each
first one, and ``slack`` more, in any window of some seconds.  Each keeps
within the ratio of its own first requests and its part of the slack, so
that the sum holds without any talk between them.
"""

import collections
import typing

from samphiredock import protocol
from samphiredock import timers

_USED_SHARE = 0.95
"""Part of the budget that is spent.  What is sent now may arrive in the
next window, together with what that one sends."""

_HEDGE_SHARE = 0.85
"""Part of ours that hedges may take.  The rest is for retries: without one
a shard is missing from the answer, without a hedge the answer is late."""


class _Group:
    """First and extra requests to one service in the last window."""

    __slots__ = ('needed', 'extra')

    def __init__(self) -> None:
        self.needed: collections.deque[float] = collections.deque()
        self.extra: collections.deque[float] = collections.deque()

    def forget(self, before_ms: float) -> None:
        for times in (self.needed, self.extra):
            while times and times[0] < before_ms:
                times.popleft()


class WindowBudget:
    """First and extra requests, counted by shard in a sliding window.

    Parameters
    ----------
    clock
        The timers of this daemon.
    ratio, slack, window_ms
        The common budget: extra requests for each first one, those beyond,
        and the length of every window in which it must hold.
    daemons
        How many daemons share the slack; None while that is not known, and
        then no slack is used: too many would use it twice.
    """

    charged_refusals = frozenset(
        {
            protocol.SubStatus.SHED,
            protocol.SubStatus.EXPIRED,
            protocol.SubStatus.DRAINING,
        }
    )
    """A target that refuses a request was still asked."""

    def __init__(
        self,
        clock: timers.Timers,
        ratio: float,
        slack: float,
        window_ms: float,
        daemons: typing.Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._daemons = daemons
        self._groups: dict[str, _Group] = collections.defaultdict(_Group)

    def set_bounds(self, ratio: float, slack: float, window_ms: float) -> None:
        """Keep to other bounds from now on."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def record_first_attempts(
        self, shards: typing.Sequence[str], share: float
    ) -> None:
        """Count the first request to each shard; ``share`` is not used."""
        now_ms = self._clock.now_ms()
        for shard in shards:
            self._groups[shard].needed.append(now_ms)

    def left(self, shard: str, part: float = 1.0) -> float:
        """Return how many more extra requests may be sent to a shard now."""
        group = self._groups[shard]
        group.forget(self._clock.now_ms() - self._window_ms)
        daemons = self._daemons()
        slack = self._slack / daemons if daemons else 0.0
        ours = self._ratio * len(group.needed) + slack
        return ours * _USED_SHARE * part - len(group.extra)

    def spend_hedge(self, shard: str = '') -> bool:
        """Count a hedge, if there is room for it."""
        return self._spend(shard, _HEDGE_SHARE)

    def spend_retry(self, shard: str = '') -> bool:
        """Count a retry, if there is room for it."""
        return self._spend(shard, 1.0)

    def _spend(self, shard: str, part: float) -> bool:
        if self.left(shard, part) < 1.0:
            return False
        self.charge(shard)
        return True

    def charge(self, shard: str = '') -> None:
        """Count an extra request that cannot be refused."""
        self._groups[shard].extra.append(self._clock.now_ms())

    def refund(self, shard: str = '') -> None:
        """Take back the newest extra request, which reached no target."""
        extra = self._groups[shard].extra
        if extra:
            extra.pop()
