"""This daemon's part of the retry budget that all daemons share.

In any window all daemons together may send a service ``ratio`` extra requests
for each first one, and ``slack`` more.  Each daemon keeps within the ratio of
its own first requests and an equal part of the slack, so the sum holds without
communication.
"""

import collections
import typing

from samphiredock import protocol
from samphiredock import timers

_USED_SHARE = 0.95
"""Share of the budget that is used.  A request sent now may arrive in the next
window, in addition to that window's own."""

_HEDGE_SHARE = 0.85
"""Share that hedges may use.  The rest is kept for retries: without a retry a
shard is missing from the answer, without a hedge the answer is only late."""


class _Window:
    """Times of first and extra requests to one shard."""

    __slots__ = ('first', 'extra')

    def __init__(self) -> None:
        self.first: collections.deque[float] = collections.deque()
        self.extra: collections.deque[float] = collections.deque()

    def drop_before(self, before_ms: float) -> None:
        for times in (self.first, self.extra):
            while times and times[0] < before_ms:
                times.popleft()


class WindowBudget:
    """Counts first and extra requests by shard in a sliding window.

    Implements the ``Budget`` of a scatter.  A shard is a service here.

    Parameters
    ----------
    clock
        The timers of this daemon.
    ratio, slack, window_ms
        The shared budget: extra requests for each first one, extra requests
        beyond that, and the length of the window.
    daemons
        Returns how many daemons share the slack, None if unknown.  Then no
        slack is used, since too many daemons might use all of it.
    """

    charged_refusals = frozenset(
        {
            protocol.SubStatus.SHED,
            protocol.SubStatus.EXPIRED,
            protocol.SubStatus.DRAINING,
        }
    )
    """Refusals that stay charged, since the request has reached a target."""

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
        self._windows: dict[str, _Window] = collections.defaultdict(_Window)

    def set_bounds(self, ratio: float, slack: float, window_ms: float) -> None:
        """Change the budget."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms

    def record_first_attempts(
        self, shards: typing.Sequence[str], share: float
    ) -> None:
        """Count the first request to each shard.

        ``share`` is for budgets that earn tokens; it is ignored.
        """
        now_ms = self._clock.now_ms()
        for shard in shards:
            self._windows[shard].first.append(now_ms)

    def left(self, shard: str, part: float = 1.0) -> float:
        """Return how many more extra requests may be sent to a shard now.

        ``part`` is the share of the budget that may be used.
        """
        window = self._windows[shard]
        window.drop_before(self._clock.now_ms() - self._window_ms)
        daemons = self._daemons()
        slack = self._slack / daemons if daemons else 0.0
        own = self._ratio * len(window.first) + slack
        return own * _USED_SHARE * part - len(window.extra)

    def spend_hedge(self, shard: str = '') -> bool:
        """Count a hedge if the budget allows it; return whether it does."""
        return self._try_spend(shard, _HEDGE_SHARE)

    def spend_retry(self, shard: str = '') -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        return self._try_spend(shard, 1.0)

    def _try_spend(self, shard: str, part: float) -> bool:
        if self.left(shard, part) < 1.0:
            return False
        self.charge(shard)
        return True

    def charge(self, shard: str = '') -> None:
        """Count an extra request without checking the budget."""
        self._windows[shard].extra.append(self._clock.now_ms())

    def refund(self, shard: str = '') -> None:
        """Take back the newest extra request, which reached no target."""
        extra = self._windows[shard].extra
        if extra:
            extra.pop()
