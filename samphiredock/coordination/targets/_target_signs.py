"""Which targets are leaving: the newest sign wins, whatever /health says.

The platform's host list is read by few daemons for all: at hundreds of
daemons one reading each would take a quarter of the store's reads, and the
list of thousands of hosts would come to each of them every second.
"""

import asyncio
import enum
import random
import typing

import msgspec
from returns import result
import xxhash

from samphiredock.coordination import _pause
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport

TARGETS_PREFIX = 'targets/'

_HOSTS_PERIOD_MS = 1_000.0
_MAX_PAUSE_MS = 16_000.0
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
        Names of the daemons that may be asked.
    is_watcher
        Whether this daemon reads the host list for the others.
    """

    def __init__(
        self,
        platform: transport.Platform,
        peers: transport.Peers,
        broadcaster: transport.Broadcaster,
        clock: timers.Timers,
        counters: metrics.Metrics,
        rng: random.Random,
        members: typing.Callable[[], list[str]],
        is_watcher: typing.Callable[[], bool] = lambda: True,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._broadcaster = broadcaster
        self._clock = clock
        self._metrics = counters
        self._rng = rng
        self._members = members
        self._is_watcher = is_watcher
        self._signs: dict[str, dict[SignSource, TargetObject]] = {}
        self._leaving: set[str] = set()
        self._listeners: list[_Listener] = []
        self._task: asyncio.Task | None = None
        self._digest = 0
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

    def targets_to_probe(self) -> list[str]:
        """Return targets that only their own word still holds back."""
        return [
            name
            for name in self._leaving
            if self._leaving_sources(name) == [SignSource.TARGET]
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
            status = TargetObject(host.leaving, now_ms)
            self._learn_from_host_list(host.name, status)
            self._broadcaster.broadcast(
                protocol.TargetSign(host.name, host.leaving, now_ms, True)
            )

    def _learn_from_host_list(self, name: str, status: TargetObject) -> None:
        known = self._signs.get(name, {}).get(SignSource.HOST_LIST)
        if known is not None and known.leaving and not status.leaving:
            # Dated back, so that a return that another daemon has
            # already seen stays the newer one.
            self._learn(name, SignSource.TARGET, known)
        self._learn(name, SignSource.HOST_LIST, status)

    def on_target_report(
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
        self._clock.every(_ASK_PERIOD_MS, self._ask_peer)
        self._task = asyncio.create_task(self._poll_hosts())

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def _leaving_sources(self, target: str) -> list[SignSource]:
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
        self._digest = 0
        is_leaving = bool(self._leaving_sources(target))
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
        if sign.from_host_list:
            self._learn_from_host_list(sign.target, status)
        else:
            self._learn(sign.target, SignSource.TARGET, status)

    def _on_wanted(
        self, sender: str, wanted: protocol.TargetSignsWanted
    ) -> None:
        if wanted.digest and wanted.digest == self._own_digest():
            return
        for sign in self._shared_signs():
            self._peers.send(sender, sign)

    def _shared_signs(self) -> list[protocol.TargetSign]:
        """Return what daemons tell each other, oldest first.

        An operator's word is left out: everybody follows its object.
        """
        rows = [
            protocol.TargetSign(
                target,
                status.leaving,
                status.at_ms,
                source is SignSource.HOST_LIST,
            )
            for target, signs in self._signs.items()
            for source, status in signs.items()
            if source is not SignSource.OPERATOR
        ]
        return sorted(rows, key=lambda row: (row.at_ms, row.target))

    def _own_digest(self) -> int:
        if not self._digest:
            rows = sorted(
                self._shared_signs(),
                key=lambda row: (row.target, row.from_host_list),
            )
            content = msgspec.msgpack.encode(rows)
            self._digest = xxhash.xxh64_intdigest(content) or 1
        return self._digest

    def _ask_peer(self) -> None:
        # A broadcast may be lost, and a new daemon has heard none.
        names = sorted(self._members())
        if names:
            self._peers.send(
                self._rng.choice(names),
                protocol.TargetSignsWanted(self._own_digest()),
            )

    async def _poll_hosts(self) -> None:
        pause_ms = _HOSTS_PERIOD_MS
        was_read = False
        while True:
            if was_read and not self._is_watcher():
                await _pause.pause(self._clock, _HOSTS_PERIOD_MS)
                continue
            found = await self._platform.hosts()
            if isinstance(found, result.Success):
                was_read = True
                self.on_hosts(found.unwrap())
                pause_ms = _HOSTS_PERIOD_MS
            else:
                pause_ms = min(pause_ms * 2, _MAX_PAUSE_MS)
            await _pause.pause(self._clock, pause_ms)


def _order(status: TargetObject) -> tuple[int, bool]:
    return status.at_ms, status.leaving


def _at_ms(stored: transport.StoredObject) -> int:
    try:
        return _STATUS.decode(stored.value).at_ms
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0
