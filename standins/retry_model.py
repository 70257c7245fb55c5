"""A model of daemons that use all of the retry budget that they may.

Random schedules of a few daemons, one service and the store, in virtual time:
daemons start anew, pause, lose the store and disagree on who coordinates; the
store is slow, away, and loses its last writes; requests come in bursts and
move between daemons; extra requests arrive as late as they may.
"""

import dataclasses
import heapq
import itertools
import random
import typing

from samphiredock import coordination
from samphiredock.coordination import forwarding
from samphiredock import timers
from standins import memory_fleet

SERVICE = 'p'
STEP_MS = 100.0
MAX_STORE_DELAY_MS = 1_500.0
MAX_PAUSE_MS = 15_000.0
MAX_ROLLBACK_MS = 15_000.0
MAX_READ_DELAY_MS = 900.0
_TRAFFIC = ((0,) * 20 + (1,), (0, 0, 0, 0, 0, 1), (0, 0, 1, 1, 2, 20))
"""Requests in one step, one of which is drawn each time."""

_TROUBLE = (0.002, 0.01, 0.03)
"""Chance of a disturbance in each step."""


@dataclasses.dataclass(frozen=True, slots=True)
class ModelBounds:
    """What a run of the model lets the daemons do.

    There are two to ``most_daemons`` of them.  ``settle_ms`` is how long they
    hold a share before they use it, and ``earned_factor`` multiplies what a
    request earns.  The defaults are those of the product.
    """

    ratio: float = 0.2
    slack: float = 30.0
    window_ms: float = 10_000.0
    most_daemons: int = 6
    settle_ms: float | None = None
    earned_factor: float = 1.0


class _PausableTimers(timers.ManualTimers):
    """The clock of one daemon, which may be paused."""

    def __init__(self, model: 'RetryModel') -> None:
        super().__init__()
        self._model = model
        self.resumed_ms = float('-inf')

    def now_ms(self) -> float:
        return self._model.now_ms

    def has_just_resumed(self) -> bool:
        return self.now_ms() - self.resumed_ms < timers.PAUSE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """The list in the store, since a time."""

    at_ms: float
    sharers: forwarding.SharerList


class _Daemon:
    """One run of a daemon; another one begins when it starts anew."""

    def __init__(self, model: 'RetryModel', name: str) -> None:
        self.model = model
        self.name = name
        self.clock = _PausableTimers(model)
        self.era = model.era
        self.view = frozenset(model.names)
        self.paused_until_ms = 0.0
        self.cut_until_ms = 0.0
        self.next_read_ms = model.now_ms
        bounds = model.bounds
        settle_ms = bounds.settle_ms
        if settle_ms is None:
            settle_ms = bounds.window_ms + coordination.MAX_TRANSIT_MS
        self.history = forwarding.ShareHistory(
            name, lambda: settle_ms, model.is_first_start, model.now_ms
        )
        self.policy = forwarding.SharerPolicy(name)
        self.budget = forwarding.WindowBudget(
            self.clock,
            bounds.ratio * bounds.earned_factor,
            bounds.slack,
            bounds.window_ms,
            self.share,
        )

    def share(self) -> float:
        """Return the share that this daemon may use now."""
        return self.history.share(self.model.now_ms, self.era)

    def is_running(self) -> bool:
        return self.model.now_ms >= self.paused_until_ms


class RetryModel:
    """One random schedule, from a seed."""

    def __init__(self, seed: int, bounds: ModelBounds) -> None:
        self.random = random.Random(seed)
        self.bounds = bounds
        self.now_ms = 0.0
        self.era = 1
        self.count = self.random.randint(2, bounds.most_daemons)
        self.names = [f'd{number}' for number in range(self.count)]
        self.is_first_start = self.random.random() < 0.5
        self.extra_ms: list[float] = []
        self.requests_ms: list[float] = []
        self._down_until_ms = 0.0
        self._copies = [_Copy(0.0, forwarding.SharerList())]
        self._revision = 0
        self._order = itertools.count()
        self._later: list[tuple[float, int, typing.Callable[[], None]]] = []
        self._daemons = {name: _Daemon(self, name) for name in self.names}
        self._busy = self._daemons_of(self.count)
        self._traffic = self.random.choice(_TRAFFIC)
        self._trouble = self.random.choice(_TROUBLE)
        self._traffic_from_ms = self.random.uniform(10_000.0, 30_000.0)

    def run(self, duration_ms: float) -> memory_fleet.Breach | None:
        """Play the schedule; return its worst window."""
        while self.now_ms < duration_ms:
            self.now_ms += STEP_MS
            while self._later and self._later[0][0] <= self.now_ms:
                heapq.heappop(self._later)[2]()
            self._disturb()
            for daemon in list(self._daemons.values()):
                if daemon.is_running():
                    self._step(daemon)
        bounds = self.bounds
        return memory_fleet.worst_window(
            SERVICE,
            self.extra_ms,
            self.requests_ms,
            (bounds.ratio, bounds.slack, bounds.window_ms),
        )

    # The daemons.

    def _step(self, daemon: _Daemon) -> None:
        if self.now_ms >= daemon.next_read_ms and daemon.name in daemon.view:
            daemon.next_read_ms = self.now_ms + self.random.choice(
                (500.0, 4_000.0, 4_000.0, 7_000.0)
            )
            self._send_read(daemon)
        if daemon.name in self._busy and self.now_ms > self._traffic_from_ms:
            for _ in range(self.random.choice(self._traffic)):
                self._request(daemon)
            if self.random.random() < 0.3:
                self._spend_all(daemon)

    def _request(self, daemon: _Daemon) -> None:
        age_ms = self.random.uniform(0.0, MAX_READ_DELAY_MS)
        self.requests_ms.append(self.now_ms - age_ms)
        daemon.budget.record_first_attempts([SERVICE])

    def _spend_all(self, daemon: _Daemon) -> None:
        while True:
            transit_ms = self.random.choice(
                (0.0, 100.0, 1_500.0, coordination.MAX_TRANSIT_MS)
            )
            latest_ms = self.now_ms + transit_ms
            charge = daemon.budget.spend_retry(
                coordination.ExtraAttempt(SERVICE, 'r', 'broken', latest_ms)
            )
            if charge is None:
                return
            arrival_ms = self.random.choice(
                (self.now_ms, latest_ms, self.random.uniform(0, 1))
            )
            if arrival_ms < self.now_ms:
                arrival_ms = self.now_ms + arrival_ms * transit_ms
            self.extra_ms.append(arrival_ms)
            if self.random.random() < 0.5:
                self._call_at(
                    arrival_ms + STEP_MS,
                    lambda charge=charge, at_ms=arrival_ms + STEP_MS: (
                        daemon.budget.settle(charge, at_ms)
                    ),
                )

    # The store.

    def _send_read(self, daemon: _Daemon) -> None:
        if self._is_away(daemon):
            return
        sent_ms, era = self.now_ms, daemon.era
        slow = self.random.random() < 0.2
        delay_ms = self.random.uniform(
            0.0, MAX_STORE_DELAY_MS if slow else 20.0
        )

        def answer() -> None:
            if self._is_away(daemon):
                return
            sharers, store_era = self._copies[-1].sharers, self.era
            self._call_at(
                self.now_ms + delay_ms,
                lambda: self._receive(
                    daemon, sent_ms, era, sharers, store_era
                ),
            )

        self._call_at(self.now_ms + delay_ms, answer)

    def _receive(
        self,
        daemon: _Daemon,
        sent_ms: float,
        sent_era: int,
        sharers: forwarding.SharerList,
        store_era: int,
    ) -> None:
        if self._daemons[daemon.name] is not daemon:
            return
        if not daemon.is_running():
            self._call_at(
                daemon.paused_until_ms + STEP_MS,
                lambda: self._receive(
                    daemon, sent_ms, sent_era, sharers, store_era
                ),
            )
            return
        daemon.era = max(daemon.era, store_era)
        if daemon.era != sent_era:
            return
        reading = forwarding.Reading(sent_ms, self.now_ms, daemon.era, sharers)
        daemon.history.on_read(reading)
        names = daemon.policy.next_names(reading, daemon.view, self.now_ms)
        if names is not None:
            self._call_at(
                self.now_ms + self.random.choice((0.0, 10.0, 3_000.0)),
                lambda: self._write(reading, names),
            )

    def _write(
        self, reading: forwarding.Reading, names: tuple[str, ...]
    ) -> None:
        before = reading.sharers
        if self.now_ms < self._down_until_ms:
            return
        if self._copies[-1].sharers.version != before.version:
            return
        self._revision += 1
        self._copies.append(
            _Copy(
                self.now_ms,
                forwarding.SharerList(
                    self._revision,
                    before.generation + 1,
                    names,
                    before.names,
                    reading.era,
                ),
            )
        )

    def _is_away(self, daemon: _Daemon) -> bool:
        away_until_ms = max(self._down_until_ms, daemon.cut_until_ms)
        return self.now_ms < away_until_ms

    def _roll_back(self) -> None:
        age_ms = self.random.uniform(0.0, MAX_ROLLBACK_MS)
        kept = [
            copy for copy in self._copies if copy.at_ms <= self.now_ms - age_ms
        ]
        self._copies = kept or self._copies[:1]
        self._revision = self._copies[-1].sharers.version
        self.era += 1

    # Disturbances.

    def _disturb(self) -> None:
        if self.random.random() >= self._trouble:
            return
        daemon = self.random.choice(list(self._daemons.values()))
        self.random.choice(
            (
                self._restart,
                self._pause,
                self._cut,
                self._change_view,
                self._change_view,
                self._move_traffic,
                self._move_traffic,
                self._disturb_store,
            )
        )(daemon)

    def _restart(self, daemon: _Daemon) -> None:
        self.is_first_start = False
        self._daemons[daemon.name] = _Daemon(self, daemon.name)

    def _pause(self, daemon: _Daemon) -> None:
        until_ms = self.now_ms + self.random.uniform(600.0, MAX_PAUSE_MS)
        daemon.paused_until_ms = until_ms
        daemon.clock.resumed_ms = until_ms

    def _cut(self, daemon: _Daemon) -> None:
        daemon.cut_until_ms = self.now_ms + self.random.uniform(0.0, 30_000.0)

    def _change_view(self, daemon: _Daemon) -> None:
        known = self.random.randint(0, self.count)
        daemon.view = frozenset(self.random.sample(list(self._daemons), known))

    def _move_traffic(self, daemon: _Daemon) -> None:
        self._busy = self._daemons_of(self.random.randint(1, self.count))

    def _disturb_store(self, daemon: _Daemon) -> None:
        if self.random.random() < 0.5:
            self._roll_back()
        else:
            self._down_until_ms = self.now_ms + self.random.uniform(
                0.0, 20_000.0
            )

    def _daemons_of(self, count: int) -> frozenset[str]:
        return frozenset(self.random.sample(self.names, count))

    def _call_at(
        self, at_ms: float, callback: typing.Callable[[], None]
    ) -> None:
        heapq.heappush(self._later, (at_ms, next(self._order), callback))
