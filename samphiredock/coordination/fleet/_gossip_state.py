"""Effects of the membership protocol, and classes that hold its state."""

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
"""Times a row is sent for each power of ten in the number of members."""

_MIN_SENDS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Effect: send this message to a member."""

    member: str
    message: msgspec.Struct


@dataclasses.dataclass(frozen=True, slots=True)
class ResetPeer:
    """Effect: replace the silent connection to a member by a new one."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Effect: a member's row changed; its address may be new."""

    row: protocol.MemberRow


@dataclasses.dataclass(frozen=True, slots=True)
class MemberForgotten:
    """Effect: a member was dead for so long that its row was dropped."""

    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerVersions:
    """Effect: a peer reported its configuration and snapshot versions."""

    member: str
    versions: protocol.HeldVersions


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Effect: a peer has answered a request for its member table."""

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
    """A probe that has not been answered.

    ``indirect`` says that others were asked to probe the member too.  If
    the probe was sent on behalf of another daemon, ``asked_by`` is that
    daemon and ``asked_number`` the number of its probe.
    """

    member: str
    due_ms: float
    indirect: bool = False
    asked_by: str = ''
    asked_number: int = 0


class Probes:
    """The open probes by number, and the order in which to probe members."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._open: dict[int, OpenProbe] = {}
        self._round: list[str] = []

    def add(self, number: int, probe: OpenProbe) -> None:
        """Add a probe that is sent."""
        self._open[number] = probe

    def get(self, number: int) -> OpenProbe | None:
        """Return an open probe, None if there is none of that number."""
        return self._open.get(number)

    def close(self, number: int) -> None:
        """Remove an open probe."""
        del self._open[number]

    def clear(self) -> None:
        """Remove all open probes."""
        self._open.clear()

    def due(self, now_ms: float) -> list[tuple[int, OpenProbe]]:
        """Return the probes whose timeout is over, with their numbers."""
        return [
            (number, probe)
            for number, probe in self._open.items()
            if probe.due_ms <= now_ms
        ]

    def postpone(self, delay_ms: float) -> None:
        """Give all probes more time."""
        for probe in self._open.values():
            probe.due_ms += delay_ms

    def next_member(self, others: typing.Sequence[str]) -> str | None:
        """Return the next member to probe, None if there is none.

        Each member comes once in a round, in random order, so that the time
        between two probes of a member is bounded.
        """
        while self._round:
            name = self._round.pop()
            if name in others:
                return name
        self._round = list(others)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None


class PiggybackQueue:
    """The members whose rows are to be piggybacked on messages.

    Each row is sent a number of times that grows with the logarithm of the
    number of members, which reaches all with high probability.
    """

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def add(self, name: str, size: int) -> None:
        """Piggyback a member's row, in a fleet of ``size`` members."""
        sends = _SENDS_PER_DECADE * math.ceil(math.log10(size + 2))
        self._left[name] = max(_MIN_SENDS, sends)

    def take(self) -> list[str]:
        """Return the names for one message, the least often sent first."""
        chosen = sorted(self._left, key=self._left.get, reverse=True)
        chosen = chosen[:_ROWS_PER_MESSAGE]
        for name in chosen:
            self._left[name] -= 1
            if self._left[name] <= 0:
                del self._left[name]
        return chosen

    def clear(self) -> None:
        """Remove all names."""
        self._left.clear()


class ViewFreshness:
    """Tracks whether the view of members is from before a freeze."""

    def __init__(self) -> None:
        self._stale_since_ms: float | None = None
        self._next_ask_ms = 0.0
        self._answered: set[str] = set()

    @property
    def is_stale(self) -> bool:
        """Whether peers must answer before the view may be used."""
        return self._stale_since_ms is not None

    def on_gap(self, now_ms: float) -> None:
        """Mark the view as stale: the process was frozen until now."""
        self._stale_since_ms = now_ms
        self._next_ask_ms = now_ms
        self._answered.clear()

    def on_answer(self, member: str) -> None:
        """Record that a peer has sent its member table."""
        self._answered.add(member)

    def should_ask(self, now_ms: float, wanted: int, is_behind: bool) -> bool:
        """Return whether to ask peers now; mark the view fresh if it is.

        Parameters
        ----------
        now_ms
            The monotonic time.
        wanted
            How many answers are enough.
        is_behind
            Whether peers reported newer versions than this daemon holds:
            the view stays stale until those have arrived too.
        """
        if self._stale_since_ms is None:
            return False
        enough = len(self._answered) >= wanted and not is_behind
        # All daemons may have been frozen at once, or all others be dead:
        # then nobody answers, and waiting longer is of no use.
        late = now_ms - self._stale_since_ms >= _MAX_REFRESH_MS
        if enough or late:
            self._stale_since_ms = None
            return False
        if now_ms < self._next_ask_ms:
            return False
        self._next_ask_ms = now_ms + _REFRESH_RETRY_MS
        return True
