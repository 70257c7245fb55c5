"""Parts of membership's decisions: effects, open probes, news, freshness."""

import dataclasses
import math
import random
import typing

import msgspec

from samphiredock import protocol

_REFRESH_RETRY_MS = 500.0
_MAX_REFRESH_MS = 3_000.0
_ROWS_PER_MESSAGE = 8
_SENDS_PER_DECADE = 4
_MIN_SENDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Send this message to a member."""

    member: str
    message: msgspec.Struct


@dataclasses.dataclass(frozen=True, slots=True)
class ResetPeer:
    """Make a new connection to a member; the open one is silent."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member's row changed; its address may be new."""

    row: protocol.MemberRow


@dataclasses.dataclass(frozen=True, slots=True)
class MemberForgotten:
    """A member has been dead so long that its row was dropped."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerVersions:
    """What a peer says it holds of configuration and snapshots."""

    member: str
    versions: protocol.HeldVersions


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer has answered a full exchange."""

    member: str
    settled: bool


GossipEffect = (
    SendTo
    | ResetPeer
    | MemberChanged
    | MemberForgotten
    | PeerVersions
    | PeerAnswered
)


@dataclasses.dataclass(slots=True)
class OpenProbe:
    """A probe without answer so far.

    ``asked_by`` and ``asked_number`` name the probe of another daemon on
    whose behalf this one was sent.
    """

    target: str
    due_ms: float
    indirect: bool = False
    asked_by: str = ''
    asked_number: int = 0


class Probes:
    """The probes without answer, and whose turn it is to be probed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._open: dict[int, OpenProbe] = {}
        self._round: list[str] = []

    def add(self, number: int, probe: OpenProbe) -> None:
        """Note a probe that is sent."""
        self._open[number] = probe

    def get(self, number: int) -> OpenProbe | None:
        """Return an open probe."""
        return self._open.get(number)

    def close(self, number: int) -> None:
        """Forget a probe."""
        del self._open[number]

    def clear(self) -> None:
        """Forget all probes."""
        self._open.clear()

    def due(self, now_ms: float) -> list[tuple[int, OpenProbe]]:
        """Return the probes whose time is over."""
        return [
            (number, probe)
            for number, probe in self._open.items()
            if probe.due_ms <= now_ms
        ]

    def postpone(self, delay_ms: float) -> None:
        """Give all probes more time."""
        for probe in self._open.values():
            probe.due_ms += delay_ms

    def next_target(self, others: typing.Sequence[str]) -> str | None:
        """Return whose turn it is.

        Each member comes once in a round, so that none is left out long.
        """
        while self._round:
            name = self._round.pop()
            if name in others:
                return name
        self._round = list(others)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None


class PiggybackQueue:
    """Names of members whose rows are still to be told to others.

    Each is told a number of times that grows with the logarithm of the
    size, which is enough to reach all with high probability.
    """

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def add(self, name: str, size: int) -> None:
        """Tell of a member to others from now on."""
        sends = _SENDS_PER_DECADE * math.ceil(math.log10(size + 2))
        self._left[name] = max(_MIN_SENDS, sends)

    def take(self) -> list[str]:
        """Choose the names for one message, the least told ones first."""
        chosen = sorted(self._left, key=self._left.get, reverse=True)
        chosen = chosen[:_ROWS_PER_MESSAGE]
        for name in chosen:
            self._left[name] -= 1
            if self._left[name] <= 0:
                del self._left[name]
        return chosen

    def clear(self) -> None:
        """Tell of nobody."""
        self._left.clear()


class ViewFreshness:
    """Whether the view is left over from before a freeze."""

    def __init__(self) -> None:
        self._stale_since_ms: float | None = None
        self._next_ask_ms = 0.0
        self._answered: set[str] = set()

    @property
    def is_stale(self) -> bool:
        """Whether peers must be asked before the view may be used."""
        return self._stale_since_ms is not None

    def on_gap(self, now_ms: float) -> None:
        """The process was frozen until now."""
        self._stale_since_ms = now_ms
        self._next_ask_ms = now_ms
        self._answered.clear()

    def on_answer(self, member: str) -> None:
        """A peer has told what it knows."""
        self._answered.add(member)

    def should_ask(self, now_ms: float, wanted: int, is_behind: bool) -> bool:
        """Whether to ask peers now; ends the staleness when it may end.

        Parameters
        ----------
        now_ms
            The time.
        wanted
            How many answers are enough.
        behind
            Whether peers told of versions not held yet: those must have
            come too, or the daemon would present what it held before.
        """
        if self._stale_since_ms is None:
            return False
        enough = len(self._answered) >= wanted and not is_behind
        # All daemons may have been frozen at once, or all others be gone:
        # nobody answers, and waiting longer would teach nothing.
        late = now_ms - self._stale_since_ms >= _MAX_REFRESH_MS
        if enough or late:
            self._stale_since_ms = None
            return False
        if now_ms < self._next_ask_ms:
            return False
        self._next_ask_ms = now_ms + _REFRESH_RETRY_MS
        return True
