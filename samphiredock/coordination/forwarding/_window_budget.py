"""This daemon's part of the retry budget that all daemons share.

In any window all daemons together may send a service ``ratio`` extra requests
for each request and ``slack`` more.  The requests are those of the window, or
of the one before it if that has more.  Each daemon keeps within the sum of

- ``ratio`` / 2 for each request that it coordinates in the window and in the
  one before.  Summed over the daemons this is ``ratio`` for each request of
  the average of the two, whichever daemons have counted them, and whenever
  these have started;
- its share of the slack; see :mod:`._share_history` for why all shares
  together are at most one.
"""

import bisect
import collections
import dataclasses
import typing

from samphiredock.coordination.forwarding import _retry_report
from samphiredock.coordination.search import _scatter_types
from samphiredock import timers

READ_DELAY_MS = 1_000.0
"""Allowance for the time between a caller's sending a request and its being
counted here."""

_WINDOWS = 2
"""Windows whose requests earn extra ones: the current one and the last."""

_SLOT_MS = 1_000.0
"""Requests this close together are counted as one entry."""

_ROUNDING = 1e-9
"""Bounds the error of the products and sums below."""

_HEDGE_SHARE = 0.85
"""Share that hedges may use.  The rest is kept for retries: without a retry a
shard is missing from the answer, without a hedge the answer is only late."""


@dataclasses.dataclass(slots=True)
class _Slot:
    """Requests at about the same time; ``at_ms`` is that of the earliest."""

    at_ms: float
    requests: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class WindowCharge:
    """One extra request, which arrives until ``latest_arrival_ms``."""

    service: str
    latest_arrival_ms: float


class _Account:
    """The requests and extra requests of one service.

    ``charges`` are sorted by their latest arrival.
    """

    __slots__ = ('slots', 'charges')

    def __init__(self) -> None:
        self.slots: collections.deque[_Slot] = collections.deque()
        self.charges: list[WindowCharge] = []

    def drop_expired(self, now_ms: float, window_ms: float) -> None:
        """Forget requests and charges that no longer count."""
        oldest_ms = now_ms - _WINDOWS * window_ms
        while self.slots and self.slots[0].at_ms <= oldest_ms:
            self.slots.popleft()
        expired = bisect.bisect_right(
            self.charges, now_ms - window_ms, key=_latest_arrival_ms
        )
        del self.charges[:expired]

    def add_request(self, at_ms: float) -> None:
        """Count one request."""
        slot = self.slots[-1] if self.slots else None
        if slot is None or abs(at_ms - slot.at_ms) >= _SLOT_MS:
            slot = _Slot(at_ms)
            self.slots.append(slot)
        slot.at_ms = min(slot.at_ms, at_ms)
        slot.requests += 1

    def requests_since(
        self, times_ms: typing.Iterable[float]
    ) -> typing.Iterator[int]:
        """Yield how many requests have come since each time.

        The latest time comes first.
        """
        requests = 0
        slots = reversed(self.slots)
        slot = next(slots, None)
        for since_ms in times_ms:
            while slot is not None and slot.at_ms >= since_ms:
                requests += slot.requests
                slot = next(slots, None)
            yield requests

    def add(self, charge: WindowCharge) -> None:
        """Add a charge at its place."""
        bisect.insort(self.charges, charge, key=_latest_arrival_ms)

    def remove(self, charge: WindowCharge) -> bool:
        """Remove a charge; return whether it was there."""
        if charge not in self.charges:
            return False
        self.charges.remove(charge)
        return True


def _latest_arrival_ms(charge: WindowCharge) -> float:
    return charge.latest_arrival_ms


class WindowBudget:
    """Limits extra requests by service in every window.

    Implements the ``Budget`` of a scatter, whose shards are services here.

    Parameters
    ----------
    clock
        The timers of this daemon.
    ratio, slack, window_ms
        The shared budget: extra requests for each request, extra requests
        beyond that, and the length of the window.
    share
        Returns this daemon's share of the slack, 0 to 1.
    report
        Records what is counted, charged and refused.
    """

    counts_arrivals = True
    """A request that a target has refused has reached it all the same."""

    def __init__(
        self,
        clock: timers.Timers,
        ratio: float,
        slack: float,
        window_ms: float,
        share: typing.Callable[[], float],
        report: _retry_report.RetryReport | None = None,
    ) -> None:
        self._clock = clock
        self._share = share
        self._report = report
        self._accounts: dict[str, _Account] = collections.defaultdict(_Account)
        self.set_bounds(ratio, slack, window_ms)

    def set_bounds(self, ratio: float, slack: float, window_ms: float) -> None:
        """Change the budget."""
        self._earned = ratio / _WINDOWS
        self._slack = slack
        self._window_ms = window_ms

    def record_first_attempts(
        self,
        shards: typing.Sequence[str],
        share: float = 0.0,
        age_ms: float = 0.0,
    ) -> None:
        """Count one request for each service.

        Requests read right after a pause of the process are not counted,
        since they may be older than they seem.  ``share`` is ignored.
        """
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - _WINDOWS * self._window_ms
        is_too_old = now_ms - age_ms <= oldest_ms
        if is_too_old or self._clock.has_just_resumed():
            return
        for shard in shards:
            account = self._accounts[shard]
            while account.slots and account.slots[0].at_ms <= oldest_ms:
                account.slots.popleft()
            account.add_request(now_ms - age_ms)
        if self._report is not None:
            self._report.on_requests(shards)

    def can_retry(self, extra: _scatter_types.ExtraAttempt) -> bool:
        """Return whether a retry would be allowed now."""
        return self._allows(extra, 1.0)

    def spend_hedge(
        self, extra: _scatter_types.ExtraAttempt
    ) -> WindowCharge | None:
        """Charge a hedge; None if the budget does not allow it."""
        return self._spend(extra, _HEDGE_SHARE)

    def spend_retry(
        self, extra: _scatter_types.ExtraAttempt
    ) -> WindowCharge | None:
        """Charge a retry; None if the budget does not allow it."""
        return self._spend(extra, 1.0)

    def charge_unconditionally(self) -> None:
        """Do nothing: every extra request is charged when it is sent."""

    def settle(self, charge: WindowCharge, latest_arrival_ms: float) -> None:
        """Let a charge end earlier: its requests have arrived by then."""
        if latest_arrival_ms >= charge.latest_arrival_ms:
            return
        account = self._accounts[charge.service]
        if account.remove(charge):
            charge.latest_arrival_ms = latest_arrival_ms
            account.add(charge)

    def refund(self, charge: WindowCharge) -> None:
        """Undo the charge of a request that reached no target."""
        self._accounts[charge.service].remove(charge)

    def _spend(
        self, extra: _scatter_types.ExtraAttempt, part: float
    ) -> WindowCharge | None:
        if not self._allows(extra, part):
            if self._report is not None:
                self._report.on_denied(extra)
            return None
        charge = WindowCharge(extra.shard, extra.latest_arrival_ms)
        self._accounts[extra.shard].add(charge)
        if self._report is not None:
            self._report.on_extra(extra)
        return charge

    def _allows(self, extra: _scatter_types.ExtraAttempt, part: float) -> bool:
        """Return whether one more extra request keeps within every window.

        ``part`` is the share of the budget that may be used.  Of the windows
        that get at least some number of extra requests, the latest one has
        earned the least: it begins when the last of them may arrive.
        """
        now_ms = self._clock.now_ms()
        account = self._accounts[extra.shard]
        account.drop_expired(now_ms, self._window_ms)
        slack = self._slack * self._share()
        charges = account.charges
        place = bisect.bisect_right(
            charges, extra.latest_arrival_ms, key=_latest_arrival_ms
        )
        starts_ms = [charge.latest_arrival_ms for charge in charges[:place]]
        starts_ms.append(extra.latest_arrival_ms)
        starts_ms.reverse()
        earned_since_ms = READ_DELAY_MS - self._window_ms
        requests_since = account.requests_since(
            start_ms + earned_since_ms for start_ms in starts_ms
        )
        first_count = len(charges) - place + 1
        return all(
            count <= part * (self._earned * requests + slack) + _ROUNDING
            for count, requests in enumerate(requests_since, first_count)
        )
