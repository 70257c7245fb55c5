"""Which daemons live: the platform's list corrected by heartbeats."""

import asyncio
import typing

import msgspec
from returns import result

from samphiredock import logs
from samphiredock import metrics
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

MEMBERS_PREFIX = 'members/'

_HEARTBEAT_MS = 300.0
_DEAD_AFTER_MS = 1_500.0
_REFRESH_S = 1.0

_MEMBER = msgspec.json.Decoder(state.Member)
_log = logs.logger('membership')


class Heartbeat(msgspec.Struct, frozen=True):
    """A daemon lives, and this is what it is."""

    member: state.Member
    leaving: bool
    revision: int


class Membership:
    """The live daemons as this one sees them."""

    def __init__(
        self,
        me: state.Member,
        peers: transport.Peers,
        set_address: typing.Callable[[str, str], None],
        platform: transport.Platform,
        clock: timers.Timers,
        counters: metrics.Metrics,
        revision: typing.Callable[[], int],
    ) -> None:
        self._me = me
        self._peers = peers
        self._set_address = set_address
        self._platform = platform
        self._clock = clock
        self._metrics = counters
        self._revision = revision
        self._known: dict[str, state.Member] = {}
        self._heard_ms: dict[str, float] = {}
        self._revisions: dict[str, int] = {}
        self._leaving = False
        self._task: asyncio.Task | None = None
        peers.subscribe(Heartbeat, self._on_heartbeat)

    def live(self) -> list[state.Member]:
        """Return the members that may dispatch, this one included."""
        now_ms = self._clock.now_ms()
        others = [
            self._known[name]
            for name, heard_ms in self._heard_ms.items()
            if now_ms - heard_ms < _DEAD_AFTER_MS
        ]
        return others if self._leaving else [self._me, *others]

    def revisions(self) -> dict[str, int]:
        """Return the revision that each live member last reported."""
        live = {member.name for member in self.live()}
        rows = {
            name: revision
            for name, revision in self._revisions.items()
            if name in live
        }
        return {**rows, self._me.name: self._revision()}

    def broadcast(self, message: msgspec.Struct) -> None:
        """Send a message to every other live member, best effort."""
        for member in self.live():
            if member.name != self._me.name:
                self._peers.send(member.name, message)

    def start(self) -> None:
        """Register, then send heartbeats and read the directory."""
        self._clock.every(_HEARTBEAT_MS, self._beat)
        self._task = asyncio.create_task(self._follow_directory())

    def leave(self) -> None:
        """Say that this daemon takes no more dispatching."""
        self._leaving = True
        self._beat()

    def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    def _beat(self) -> None:
        beat = Heartbeat(self._me, self._leaving, self._revision())
        for name in self._known:
            self._peers.send(name, beat)

    def _on_heartbeat(self, sender: str, beat: Heartbeat) -> None:
        member = beat.member
        known = self._known.get(member.name)
        if known is not None and known.incarnation > member.incarnation:
            return
        self._learn(member)
        self._revisions[member.name] = beat.revision
        if beat.leaving:
            self._heard_ms.pop(member.name, None)
        else:
            self._heard_ms[member.name] = self._clock.now_ms()

    def _learn(self, member: state.Member) -> None:
        if member.name == self._me.name:
            return
        if member.name not in self._known:
            _log.notice('member seen', name=member.name, site=member.site)
        self._known[member.name] = member
        self._set_address(member.name, member.peer_address)

    async def _follow_directory(self) -> None:
        registered = False
        while True:
            if not registered:
                registered = await self._register()
            found = await self._platform.scan(MEMBERS_PREFIX)
            if isinstance(found, result.Success):
                for stored in found.unwrap():
                    member = _MEMBER.decode(stored.value)
                    known = self._known.get(member.name)
                    if known is None or (
                        known.incarnation < member.incarnation
                    ):
                        self._learn(member)
            await asyncio.sleep(_REFRESH_S)

    async def _register(self) -> bool:
        key = MEMBERS_PREFIX + self._me.name
        found = await self._platform.get(key)
        version = transport.CREATE_ONLY
        if isinstance(found, result.Success):
            version = found.unwrap().version
        put = await self._platform.put(
            key, msgspec.json.encode(self._me), version
        )
        return isinstance(put, result.Success)
