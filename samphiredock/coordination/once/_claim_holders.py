"""The holder's word on its claims, and asking other holders for theirs.

Claims do not lapse, so a second daemon that finds one can learn its fate
only from the store or from the holder itself.
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
"""A holder that answers nothing for so long counts as silent."""

UNSETTLED_LIMIT = 10_000

_NEXT = {
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
"""Which word may follow which; ``NEVER_SENT`` is never taken back."""


@dataclasses.dataclass(slots=True)
class _Held:
    status: protocol.ClaimStatus
    outcome: protocol.Completed | None = None
    watchers: set[str] = dataclasses.field(default_factory=set)


class Holders:
    """Answer for the own claims and ask for those of others."""

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
        self._held: dict[str, _Held] = {}
        self._unsettled: collections.deque[str] = collections.deque()
        self._asking: dict[str, list[asyncio.Future]] = {}
        self._heard_ms: dict[str, float] = {}
        peers.subscribe(protocol.ClaimAsk, self._on_ask)
        peers.subscribe(protocol.ClaimAnswer, self._on_answer)

    def begin(self, token: str) -> None:
        """Answer for a new claim from now on."""
        assert token not in self._held, f'{token}: begun twice'
        self._held[token] = _Held(protocol.ClaimStatus.RUNNING)

    def status(self, token: str) -> protocol.ClaimStatus:
        """Return what a peer that asked now would be told."""
        held = self._held.get(token)
        return held.status if held else protocol.ClaimStatus.UNTRACKED

    def change(
        self,
        token: str,
        status: protocol.ClaimStatus,
        outcome: protocol.Completed | None = None,
    ) -> None:
        """Change the word on an own claim and tell who asked.

        Raises ``AssertionError`` for a change that would take back a word
        already given.
        """
        held = self._held.get(token)
        before = held.status if held else None
        assert held is not None and status in _NEXT[before], (
            f'{token}: {before} cannot become {status}'
        )
        held.status, held.outcome = status, outcome
        for member in sorted(held.watchers):
            self._tell(member, token, held)
        if status is protocol.ClaimStatus.UNSETTLED:
            self._unsettled.append(token)
            self._drop_oldest()

    def forget(self, token: str) -> None:
        """Stop answering for a claim whose end is in the store."""
        self._held.pop(token, None)

    async def ask(
        self, token: str, until_ms: float
    ) -> protocol.ClaimAnswer | None:
        """Return a holder's final word; None from a silent holder."""
        parts = protocol.parse_token(token)
        if parts is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self._asking.setdefault(token, []).append(future)
        self._heard_ms[token] = self._clock.now_ms()
        try:
            return await self._await_word(token, parts, future, until_ms)
        finally:
            self._asking[token].remove(future)
            if not self._asking[token]:
                del self._asking[token]
                self._heard_ms.pop(token, None)

    async def _await_word(
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
            silent_ms = self._clock.now_ms() - self._heard_ms[token]
            if silent_ms >= SILENT_MS:
                self._metrics.add('claim_holders_silent')
                return None
        return None

    def _on_ask(self, sender: str, ask: protocol.ClaimAsk) -> None:
        held = self._held.get(ask.token)
        if held is None:
            held = _Held(protocol.ClaimStatus.UNTRACKED)
        elif held.status is protocol.ClaimStatus.RUNNING:
            held.watchers.add(sender)
        self._metrics.add('claim_asks_answered', status=held.status.value)
        self._tell(sender, ask.token, held)

    def _tell(self, member: str, token: str, held: _Held) -> None:
        self._peers.send(
            member, protocol.ClaimAnswer(token, held.status, held.outcome)
        )

    def _on_answer(self, sender: str, answer: protocol.ClaimAnswer) -> None:
        parts = protocol.parse_token(answer.token)
        if parts is None or parts.holder != sender:
            self._metrics.add('claim_answers_refused')
            return
        if answer.status is protocol.ClaimStatus.RUNNING:
            if answer.token in self._heard_ms:
                self._heard_ms[answer.token] = self._clock.now_ms()
            return
        for future in self._asking.get(answer.token, ()):
            if not future.done():
                future.set_result(answer)

    def _drop_oldest(self) -> None:
        while len(self._unsettled) > UNSETTLED_LIMIT:
            token = self._unsettled.popleft()
            held = self._held.get(token)
            if held and held.status is protocol.ClaimStatus.UNSETTLED:
                self.forget(token)
                self._metrics.add('claims_unsettled_dropped')
