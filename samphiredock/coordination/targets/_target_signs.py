"""Which targets are leaving (draining), from signs of several sources.

A sign is a dated report that a target is leaving or back, from an operator,
the platform's host list or the target itself.  Health endpoints are not
asked.  Only a few daemons poll the host list and send its signs on, since
hundreds of daemons polling it would take much of the store's capacity.
"""

import asyncio
import enum
import random
import typing

import msgspec
from returns import result
import xxhash

from samphiredock.coordination import _pause
from samphiredock.coordination import background
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
    """A sign on a target, of any source; ``at_ms`` is wall-clock time.

    An operator's sign is stored in this form as ``targets/NAME``.
    """

    leaving: bool
    at_ms: int


class SignSource(enum.Enum):
    """Where a sign came from."""

    OPERATOR = 'operator'
    HOST_LIST = 'host-list'
    TARGET = 'target'


_DECODER = msgspec.json.Decoder(TargetObject)

_Listener = typing.Callable[[str, bool], None]


class TargetSigns:
    """The newest sign of each source on each target.

    A target is leaving while the newest sign of any source says so.  An
    operator's sign of return replaces an older sign of the target itself,
    too: the operator need not wait for a probe.  A host
    list that no longer shows a target as leaving may be outdated, so its
    return becomes a leaving sign of the target itself, which the owner's
    next probe of the target confirms or ends.

    Parameters
    ----------
    platform
        Store and host list.
    peers, broadcaster
        Send signs to one daemon and to all.
    clock, counters
        The timer service and the metrics.
    rng
        Seeded random source, selects the peer to ask.
    members
        Returns the names of the daemons that may be asked.
    is_watcher
        Returns whether this daemon polls the host list for the others.
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
        """Call ``listener(target, leaving)`` when ``is_usable`` changes."""
        self._listeners.append(listener)

    def is_usable(self, target: str) -> bool:
        """Whether no sign says that the target is leaving."""
        return target not in self._leaving

    def leaving(self) -> set[str]:
        """Return the names of the leaving targets."""
        return set(self._leaving)

    def targets_to_probe(self) -> list[str]:
        """Return the targets that are leaving by their own sign only."""
        return [
            name
            for name in self._leaving
            if self._leaving_sources(name) == [SignSource.TARGET]
        ]

    def on_object(self, stored: transport.StoredObject) -> None:
        """Apply a stored object below ``targets/``; count unreadable ones."""
        name = stored.key.removeprefix(TARGETS_PREFIX)
        try:
            sign = _DECODER.decode(stored.value)
        except protocol.DECODE_ERRORS:
            self._metrics.add('target_objects_unreadable')
            return
        self._learn(name, SignSource.OPERATOR, sign)
        own = self._signs[name].get(SignSource.TARGET)
        if own is not None and not sign.leaving:
            if own.at_ms < sign.at_ms:
                self._learn(name, SignSource.TARGET, sign)

    def on_hosts(self, hosts: typing.Iterable[transport.Host]) -> None:
        """Apply the platform's host list and broadcast what changed."""
        now_ms = self._clock.wall_ms()
        for host in hosts:
            known = self._signs.get(host.name, {}).get(SignSource.HOST_LIST)
            was_leaving = known is not None and known.leaving
            if host.leaving == was_leaving:
                continue
            sign = TargetObject(host.leaving, now_ms)
            self._learn_from_host_list(host.name, sign)
            self._broadcaster.broadcast(
                protocol.TargetSign(host.name, host.leaving, now_ms, True)
            )

    def _learn_from_host_list(self, name: str, sign: TargetObject) -> None:
        known = self._signs.get(name, {}).get(SignSource.HOST_LIST)
        if known is not None and known.leaving and not sign.leaving:
            # Keeps the date of the leaving sign, so that a return which
            # another daemon has already seen is newer.
            self._learn(name, SignSource.TARGET, known)
        self._learn(name, SignSource.HOST_LIST, sign)

    def on_target_report(
        self, target: str, leaving: bool, asked_at_ms: int | None = None
    ) -> None:
        """Apply a target's own report and broadcast it if it is news.

        ``asked_at_ms`` is the wall-clock time at which the target was asked.
        If that was before the newest sign, the answer is outdated and does
        not count as a return.
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
        """Store an operator's sign; return the version of its object.

        Returns a ``Failure`` if the store cannot be reached or another
        writer was first.
        """
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
            at_ms = max(at_ms, _stored_at_ms(found.unwrap()) + 1)
        value = msgspec.json.encode(TargetObject(leaving, at_ms))
        put = await self._platform.put(key, value, version)
        if isinstance(put, result.Success):
            self.on_object(transport.StoredObject(key, put.unwrap(), value))
        return put

    def start(self) -> None:
        """Start to poll the host list and to ask peers for their signs."""
        self._clock.every(_ASK_PERIOD_MS, self._ask_peer)
        self._task = background.start_loop(
            self._poll_hosts, 'host list', self._clock, self._metrics
        )

    def close(self) -> None:
        """Stop polling the host list."""
        if self._task is not None:
            self._task.cancel()

    def _leaving_sources(self, target: str) -> list[SignSource]:
        signs = self._signs.get(target, {})
        return [source for source, sign in signs.items() if sign.leaving]

    def _learn(
        self, target: str, source: SignSource, sign: TargetObject
    ) -> None:
        signs = self._signs.setdefault(target, {})
        known = signs.get(source)
        if known is not None and _sort_key(sign) <= _sort_key(known):
            return
        signs[source] = sign
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
            'target leaving state changed',
            target=target,
            leaving=is_leaving,
            source=source.value,
        )
        for listener in self._listeners:
            listener(target, is_leaving)

    def _on_peer_sign(self, sender: str, sign: protocol.TargetSign) -> None:
        learned = TargetObject(sign.leaving, sign.at_ms)
        if sign.from_host_list:
            self._learn_from_host_list(sign.target, learned)
        else:
            self._learn(sign.target, SignSource.TARGET, learned)

    def _on_wanted(
        self, sender: str, wanted: protocol.TargetSignsWanted
    ) -> None:
        if wanted.digest and wanted.digest == self._own_digest():
            return
        for sign in self._shared_signs():
            self._peers.send(sender, sign)

    def _shared_signs(self) -> list[protocol.TargetSign]:
        """Return the signs that daemons send each other, oldest first.

        Operators' signs are left out: every daemon reads their objects.
        """
        rows = [
            protocol.TargetSign(
                target,
                sign.leaving,
                sign.at_ms,
                source is SignSource.HOST_LIST,
            )
            for target, signs in self._signs.items()
            for source, sign in signs.items()
            if source is not SignSource.OPERATOR
        ]
        return sorted(rows, key=lambda row: (row.at_ms, row.target))

    def _own_digest(self) -> int:
        """Return the digest of the shared signs; 0 stands for no digest."""
        if not self._digest:
            rows = sorted(
                self._shared_signs(),
                key=lambda row: (row.target, row.from_host_list),
            )
            content = msgspec.msgpack.encode(rows)
            self._digest = xxhash.xxh64_intdigest(content) or 1
        return self._digest

    def _ask_peer(self) -> None:
        # A broadcast may be lost, and a new daemon has received none.
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


def _sort_key(sign: TargetObject) -> tuple[int, bool]:
    return sign.at_ms, sign.leaving


def _stored_at_ms(stored: transport.StoredObject) -> int:
    try:
        return _DECODER.decode(stored.value).at_ms
    except protocol.DECODE_ERRORS:
        return 0
