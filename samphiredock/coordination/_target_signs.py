"""Which targets are leaving: the newest sign wins, whatever /health says."""

import asyncio
import enum
import random
import typing

import msgspec
from returns import result

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

TARGETS_PREFIX = 'targets/'

_HOSTS_PERIOD_MS = 1_000.0
_LONGEST_PAUSE_MS = 16_000.0
_ASK_PERIOD_MS = 2_000.0

_log = logs.logger('targets')


class TargetObject(msgspec.Struct, frozen=True):
    """The object ``targets/NAME``, an operator's word on a target."""

    leaving: bool
    at_ms: int


class SignSource(enum.Enum):
    """Who said that a target is leaving."""

    OPERATOR = 'operator'
    HOST_LIST = 'host-list'
    TARGET = 'target'


_STATUS = msgspec.json.Decoder(TargetObject)

_Listener = typing.Callable[[str, bool], None]


class TargetSigns:
    """Every sign of leaving and of return that this daemon knows.

    A leaving sign of any source stands until the same source takes it back
    later.  A newer word of an operator settles the target's own sign too.
    A host list that no longer shows a target as leaving may be late, so it
    does not count as a return: the dispatcher's probe decides.

    Parameters
    ----------
    platform
        Store and host list.
    peers, broadcaster
        Where signs are sent.
    clock, counters
        The timer service and the metrics.
    chance
        A seeded source, picks the peer to ask.
    members
        Names of the other live daemons.
    """

    def __init__(
        self,
        platform: transport.Platform,
        peers: transport.Peers,
        broadcaster: transport.Broadcaster,
        clock: timers.Timers,
        counters: metrics.Metrics,
        chance: random.Random,
        members: typing.Callable[[], list[str]],
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._broadcaster = broadcaster
        self._clock = clock
        self._metrics = counters
        self._chance = chance
        self._members = members
        self._signs: dict[str, dict[SignSource, TargetObject]] = {}
        self._leaving: set[str] = set()
        self._listeners: list[_Listener] = []
        self._task: asyncio.Task | None = None
        self._asked = False
        peers.subscribe(protocol.TargetSign, self._on_peer_sign)
        peers.subscribe(protocol.TargetSignsWanted, self._on_wanted)

    def subscribe(self, listener: _Listener) -> None:
        """Call back with (target, leaving) at each change."""
        self._listeners.append(listener)

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work, as far as signs go."""
        return target not in self._leaving

    def leaving(self) -> set[str]:
        """Return the targets that get no new work."""
        return set(self._leaving)

    def to_probe(self) -> list[str]:
        """Return targets that only their own word still holds back."""
        return [
            name
            for name in self._leaving
            if self._standing(name) == [SignSource.TARGET]
        ]

    def on_object(self, stored: transport.StoredObject) -> None:
        """Take an object below ``targets/``; unreadable ones are counted."""
        name = stored.key.removeprefix(TARGETS_PREFIX)
        try:
            status = _STATUS.decode(stored.value)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._metrics.add('target_objects_unreadable')
            return
        self._learn(name, SignSource.OPERATOR, status)
        own = self._signs[name].get(SignSource.TARGET)
        if own is not None and not status.leaving:
            if own.at_ms < status.at_ms:
                self._learn(name, SignSource.TARGET, status)

    def on_hosts(self, hosts: typing.Iterable[transport.Host]) -> None:
        """Take the lagging list in."""
        now_ms = self._clock.wall_ms()
        for host in hosts:
            known = self._signs.get(host.name, {}).get(SignSource.HOST_LIST)
            was_leaving = known is not None and known.leaving
            if host.leaving == was_leaving:
                continue
            if known is not None and was_leaving:
                # Dated back, so that a return that another daemon has
                # already seen stays the newer one.
                self._learn(host.name, SignSource.TARGET, known)
            status = TargetObject(host.leaving, now_ms)
            self._learn(host.name, SignSource.HOST_LIST, status)

    def on_target_word(
        self, target: str, leaving: bool, asked_at_ms: int | None = None
    ) -> None:
        """Take what a target itself answered, and tell the others.

        ``asked_at_ms`` is the wall-clock time at which it was asked: a word
        that was on its way when a newer sign came is no return.
        """
        known = self._signs.get(target, {}).get(SignSource.TARGET)
        if known is None and not leaving:
            return
        if known is not None and known.leaving == leaving:
            return
        known_ms = known.at_ms if known is not None else 0
        at_ms = asked_at_ms or self._clock.wall_ms()
        if leaving:
            at_ms = max(at_ms, known_ms + 1)
        if at_ms <= known_ms:
            return
        self._learn(target, SignSource.TARGET, TargetObject(leaving, at_ms))
        self._broadcaster.broadcast(
            protocol.TargetSign(target, leaving, at_ms)
        )

    async def set_leaving(
        self, target: str, leaving: bool
    ) -> result.Result[int, transport.StoreError]:
        """Write an operator's word; a racing writer gets a conflict."""
        key = TARGETS_PREFIX + target
        found = await self._platform.get(key)
        version = transport.CREATE_ONLY
        at_ms = self._clock.wall_ms()
        if isinstance(found, result.Failure):
            error = found.failure()
            if error.kind is not transport.StoreErrorKind.NOT_FOUND:
                return result.Failure(error)
        else:
            version = found.unwrap().version
            at_ms = max(at_ms, _at_ms(found.unwrap()) + 1)
        value = msgspec.json.encode(TargetObject(leaving, at_ms))
        put = await self._platform.put(key, value, version)
        if isinstance(put, result.Success):
            self.on_object(transport.StoredObject(key, put.unwrap(), value))
        return put

    def start(self) -> None:
        """Poll the host list and now and then ask a peer for its signs."""
        self._clock.every(_ASK_PERIOD_MS, self._ask_a_peer)
        self._task = asyncio.create_task(self._poll_hosts())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def _standing(self, target: str) -> list[SignSource]:
        signs = self._signs.get(target, {})
        return [source for source, sign in signs.items() if sign.leaving]

    def _learn(
        self, target: str, source: SignSource, status: TargetObject
    ) -> None:
        signs = self._signs.setdefault(target, {})
        known = signs.get(source)
        if known is not None and _order(status) <= _order(known):
            return
        signs[source] = status
        is_leaving = bool(self._standing(target))
        if is_leaving == (target in self._leaving):
            return
        if is_leaving:
            self._leaving.add(target)
        else:
            self._leaving.discard(target)
        self._metrics.add('target_signs', leaving=is_leaving)
        _log.notice(
            'target sign',
            target=target,
            leaving=is_leaving,
            source=source.value,
        )
        for listener in self._listeners:
            listener(target, is_leaving)

    def _on_peer_sign(self, sender: str, sign: protocol.TargetSign) -> None:
        status = TargetObject(sign.leaving, sign.at_ms)
        self._learn(sign.target, SignSource.TARGET, status)

    def _on_wanted(
        self, sender: str, wanted: protocol.TargetSignsWanted
    ) -> None:
        for target, signs in self._signs.items():
            own = signs.get(SignSource.TARGET)
            if own is not None:
                self._peers.send(
                    sender,
                    protocol.TargetSign(target, own.leaving, own.at_ms),
                )

    def _ask_a_peer(self) -> None:
        # A broadcast may be lost, and a new daemon has heard none.
        names = sorted(self._members())
        if names:
            self._peers.send(
                self._chance.choice(names), protocol.TargetSignsWanted()
            )

    async def _poll_hosts(self) -> None:
        pause_ms = _HOSTS_PERIOD_MS
        while True:
            found = await self._platform.hosts()
            if isinstance(found, result.Success):
                self.on_hosts(found.unwrap())
                pause_ms = _HOSTS_PERIOD_MS
            else:
                pause_ms = min(pause_ms * 2, _LONGEST_PAUSE_MS)
            await asyncio.sleep(pause_ms / 1000.0)


def _order(status: TargetObject) -> tuple[int, bool]:
    return status.at_ms, status.leaving


def _at_ms(stored: transport.StoredObject) -> int:
    try:
        return _STATUS.decode(stored.value).at_ms
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0
