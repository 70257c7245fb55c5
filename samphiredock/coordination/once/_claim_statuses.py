"""Exchanges the statuses of claims between daemons.

The holder of a claim is the daemon that opened it.  A claim is not taken over
because its holder is silent, so a daemon that finds it open can learn how it
ended only from the store or from the holder.
"""

import asyncio
import collections
import dataclasses

from samphiredock.coordination.once import _cutoff
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

ASK_PERIOD_MS = 250.0
SILENT_MS = 1_000.0
"""A holder that has not answered for this long counts as silent."""

UNSETTLED_LIMIT = 10_000
"""How many claims with an unknown end are kept; the oldest are dropped."""

_ALLOWED_CHANGES = {
    None: {protocol.ClaimStatus.RUNNING},
    protocol.ClaimStatus.RUNNING: {
        protocol.ClaimStatus.DONE,
        protocol.ClaimStatus.NEVER_SENT,
        protocol.ClaimStatus.UNSETTLED,
    },
    protocol.ClaimStatus.UNSETTLED: {
        protocol.ClaimStatus.DONE,
        protocol.ClaimStatus.NEVER_SENT,
    },
    protocol.ClaimStatus.DONE: set(),
    protocol.ClaimStatus.NEVER_SENT: set(),
}
"""Allowed changes of status.

``DONE`` and ``NEVER_SENT`` are final: other daemons act on them.
"""


@dataclasses.dataclass(slots=True)
class _TrackedClaim:
    status: protocol.ClaimStatus
    outcome: protocol.Completed | None = None
    waiting_peers: set[str] = dataclasses.field(default_factory=set)


class ClaimStatuses:
    """Tracks the claims held here; asks the holders of other claims."""

    def __init__(
        self,
        peers: transport.Peers,
        clock: timers.Timers,
        counters: metrics.Metrics,
        cutoff: _cutoff.Cutoff | None = None,
    ) -> None:
        self._cutoff = cutoff or _cutoff.Cutoff(clock)
        self._peers = peers
        self._clock = clock
        self._metrics = counters
        self._tracked: dict[str, _TrackedClaim] = {}
        self._unsettled: collections.deque[str] = collections.deque()
        self._pending_asks: dict[str, list[asyncio.Future]] = {}
        self._last_heard_ms: dict[str, float] = {}
        peers.subscribe(protocol.ClaimAsk, self._on_ask)
        peers.subscribe(protocol.ClaimAnswer, self._on_answer)

    def track(self, token: str) -> None:
        """Start to answer for a new claim, with status ``RUNNING``."""
        assert token not in self._tracked, f'{token}: already tracked'
        self._tracked[token] = _TrackedClaim(protocol.ClaimStatus.RUNNING)

    def status(self, token: str) -> protocol.ClaimStatus:
        """Return the status that a peer would get now."""
        tracked = self._tracked.get(token)
        return tracked.status if tracked else protocol.ClaimStatus.UNTRACKED

    def update(
        self,
        token: str,
        status: protocol.ClaimStatus,
        outcome: protocol.Completed | None = None,
    ) -> None:
        """Change the status of a claim held here and tell the waiting peers.

        Raises ``AssertionError`` if ``_ALLOWED_CHANGES`` does not list the
        change.
        """
        tracked = self._tracked.get(token)
        before = tracked.status if tracked else None
        assert tracked is not None and status in _ALLOWED_CHANGES[before], (
            f'{token}: {before} cannot become {status}'
        )
        tracked.status, tracked.outcome = status, outcome
        for peer in sorted(tracked.waiting_peers):
            self._send_answer(peer, token, tracked)
        if status is protocol.ClaimStatus.UNSETTLED:
            self._unsettled.append(token)
            self._drop_oldest_unsettled()

    def forget(self, token: str) -> None:
        """Stop tracking a claim; peers that ask for it get ``UNTRACKED``."""
        self._tracked.pop(token, None)

    async def ask(
        self, token: str, until_ms: float
    ) -> protocol.ClaimAnswer | None:
        """Ask a claim's holder until the status is not ``RUNNING``.

        Returns None if the token is malformed, the holder is unreachable or
        silent, or the time is up.
        """
        parts = protocol.parse_token(token)
        if parts is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self._pending_asks.setdefault(token, []).append(future)
        self._last_heard_ms[token] = self._clock.now_ms()
        try:
            return await self._wait_for_answer(token, parts, future, until_ms)
        finally:
            self._pending_asks[token].remove(future)
            if not self._pending_asks[token]:
                del self._pending_asks[token]
                self._last_heard_ms.pop(token, None)

    async def _wait_for_answer(
        self,
        token: str,
        parts: protocol.ClaimToken,
        future: asyncio.Future,
        until_ms: float,
    ) -> protocol.ClaimAnswer | None:
        while self._clock.now_ms() < self._cutoff.bound(until_ms):
            self._metrics.add('claim_asks')
            if not self._peers.send(parts.holder, protocol.ClaimAsk(token)):
                return None
            next_ms = self._clock.now_ms() + ASK_PERIOD_MS
            if await self._cutoff.wait_until(future, min(next_ms, until_ms)):
                return future.result()
            silent_ms = self._clock.now_ms() - self._last_heard_ms[token]
            if silent_ms >= SILENT_MS:
                self._metrics.add('claim_holders_silent')
                return None
        return None

    def _on_ask(self, sender: str, ask: protocol.ClaimAsk) -> None:
        tracked = self._tracked.get(ask.token)
        if tracked is None:
            tracked = _TrackedClaim(protocol.ClaimStatus.UNTRACKED)
        elif tracked.status is protocol.ClaimStatus.RUNNING:
            tracked.waiting_peers.add(sender)
        self._metrics.add('claim_asks_answered', status=tracked.status.value)
        self._send_answer(sender, ask.token, tracked)

    def _send_answer(
        self, peer: str, token: str, tracked: _TrackedClaim
    ) -> None:
        self._peers.send(
            peer,
            protocol.ClaimAnswer(token, tracked.status, tracked.outcome),
        )

    def _on_answer(self, sender: str, answer: protocol.ClaimAnswer) -> None:
        parts = protocol.parse_token(answer.token)
        if parts is None or parts.holder != sender:
            self._metrics.add('claim_answers_refused')
            return
        if answer.status is protocol.ClaimStatus.RUNNING:
            if answer.token in self._last_heard_ms:
                self._last_heard_ms[answer.token] = self._clock.now_ms()
            return
        for future in self._pending_asks.get(answer.token, ()):
            if not future.done():
                future.set_result(answer)

    def _drop_oldest_unsettled(self) -> None:
        while len(self._unsettled) > UNSETTLED_LIMIT:
            token = self._unsettled.popleft()
            tracked = self._tracked.get(token)
            if tracked and tracked.status is protocol.ClaimStatus.UNSETTLED:
                self.forget(token)
                self._metrics.add('claims_unsettled_dropped')
