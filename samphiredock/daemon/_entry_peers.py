"""Notices and questions between entry daemons.

They report lost targets, pass on the list of coordinators (an introduction),
check whether the routing table held here is fresh, and pass on a newer one.
"""

import asyncio
import random

from returns import result

from samphiredock.coordination import background
from samphiredock.coordination import forwarding
from samphiredock.daemon import _entry_state
from samphiredock import logs
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

_NOTICE_TIMEOUT_MS = 1_000.0
"""A peer that takes longer to accept a notice counts as down."""

_STATUS_TIMEOUT_MS = 200.0
"""Timeout of a question for a peer's store status; it is repeated soon."""

_ROUTING_TIMEOUT_MS = 1_000.0
"""Timeout of a read of a peer's routing table, which may be large."""

_log = logs.logger('entry')


class PeerNotices:
    """Sends and handles notices and questions between entry daemons.

    Parameters
    ----------
    name
        The name of this daemon.
    entry_state
        The state of this daemon, with its peers.
    connections
        The connections to the peers.
    crash_guard
        Records the losses that peers report.
    clock
        The timers of this daemon.
    """

    def __init__(
        self,
        name: str,
        entry_state: _entry_state.EntryState,
        connections: transport.ConnectionPool,
        crash_guard: forwarding.CrashGuard,
        clock: timers.Timers,
    ) -> None:
        self._name = name
        self._entry_state = entry_state
        self._connections = connections
        self._crash_guard = crash_guard
        self._clock = clock
        self._rng = random.Random(name)
        self._is_reading = False
        # A daemon that has used a newer routing table than this one's.
        self._newer_table_at = ''
        self._notice_handlers = {
            forwarding.LOSS_PATH: self._on_loss,
            forwarding.INTRODUCTION_PATH: self._on_introduction,
        }

    def start(self) -> None:
        """Start the periodic introductions and freshness checks."""
        self._schedule_introduction()
        self._clock.every(
            forwarding.FRESHNESS_CHECK_INTERVAL_MS,
            self._check_freshness_if_needed,
        )

    # Received from peers.

    def handle(self, path: str, body: bytes) -> protocol.HttpReply | None:
        """Reply to a peer's notice or question, None if it is neither."""
        if path == forwarding.STORE_STATUS_PATH:
            return forwarding.store_status_reply(
                self._entry_state.routing_version(),
                self._entry_state.has_store_contact(),
            )
        if path == forwarding.ROUTING_PATH:
            return forwarding.routing_reply(self._entry_state.routing_value())
        handler = self._notice_handlers.get(path)
        if handler is None:
            return None
        if handler(body):
            return protocol.HttpReply(204)
        return protocol.HttpReply(400, body=b'malformed notice')

    def _on_loss(self, body: bytes) -> bool:
        loss = forwarding.read_loss(body)
        if loss is not None:
            self._crash_guard.record_loss(loss)
        return loss is not None

    def _on_introduction(self, body: bytes) -> bool:
        daemons = forwarding.read_introduction(body)
        if daemons is not None:
            self._entry_state.on_introduction(daemons)
        return daemons is not None

    def note_newer_table(self, daemon: str) -> None:
        """Ask a daemon, too, when the freshness is checked next."""
        self._newer_table_at = daemon

    # Sent to peers.

    def announce_loss(self, loss: forwarding.Loss) -> None:
        """Report a loss to all peers.

        A retry of the same request may reach any of them.
        """
        request = forwarding.loss_notice(loss)
        for peer in self._entry_state.peers.all():
            background.start(self._send(peer, request), 'announce a loss')

    def _check_freshness_if_needed(self) -> None:
        if self._entry_state.needs_freshness_check():
            background.start(self._check_freshness(), 'check freshness')

    async def _check_freshness(self) -> None:
        sent_ms = self._clock.now_ms()
        sample = self._draw_peers()
        if not sample:
            return
        replies = await asyncio.gather(*map(self._ask_peer, sample))
        answers = [row for row in replies if row is not None]
        last_round = self._entry_state.freshness_check.record_round(
            answers, sent_ms
        )
        _log.info(
            'store freshness checked',
            asked=len(sample),
            answered=len(answers),
            hear_it=sum(row.hears for row in answers),
            version=self._entry_state.routing_version(),
            newest=last_round.newest if last_round else None,
        )
        newest, peer = max(
            (
                (status.version, peer)
                for peer, status in zip(sample, replies)
                if status is not None
            ),
            key=lambda row: row[0],
            default=(0, None),
        )
        is_newer = newest > self._entry_state.routing_version()
        if peer is not None and is_newer and not self._is_reading:
            self._is_reading = True
            try:
                await self._read_routing(peer)
            finally:
                self._is_reading = False

    def _draw_peers(self) -> list[state.LiveTarget]:
        """Return the daemons to ask.

        These are some coordinators, and the last daemon that is known to have
        used a newer routing table.
        """
        peers = list(self._entry_state.peers.all())
        sample = self._rng.sample(
            peers, min(forwarding.FRESHNESS_CHECK_PEERS, len(peers))
        )
        drawn = {peer.target_id for peer in sample}
        return sample + [
            forwarding.as_target(daemon)
            for daemon in self._entry_state.daemons()
            if daemon.name == self._newer_table_at and daemon.name not in drawn
        ]

    async def _read_routing(self, peer: state.LiveTarget) -> None:
        """Take over the routing table of a peer that holds a newer one."""
        reply = await self._connections.exchange(
            peer,
            forwarding.routing_request(),
            _ROUTING_TIMEOUT_MS,
            lambda reply: True,
        )
        why = ''
        if isinstance(reply, result.Failure):
            why = reply.failure().detail
        elif reply.unwrap().status != 200:
            why = f'status {reply.unwrap().status}'
        else:
            body = reply.unwrap().body
            why = self._entry_state.offer_routing_value(body)
        _log.notice(
            'routing table read from a peer',
            peer=peer.target_id,
            version=self._entry_state.routing_version(),
            why=why,
        )

    async def _ask_peer(
        self, peer: state.LiveTarget
    ) -> forwarding.StoreStatus | None:
        reply = await self._connections.exchange(
            peer,
            forwarding.store_status_request(),
            _STATUS_TIMEOUT_MS,
            lambda reply: True,
        )
        if isinstance(reply, result.Failure):
            return None
        return forwarding.read_store_status(reply.unwrap())

    def _schedule_introduction(self) -> None:
        wait_ms = forwarding.introduction_interval_ms(
            len(self._entry_state.daemons())
        )
        self._clock.after(
            wait_ms,
            lambda: background.start(self._introduce(), 'introduce'),
        )

    async def _introduce(self) -> None:
        try:
            request = forwarding.introduction_request(
                self._entry_state.coordinators()
            )
            for daemon in forwarding.successors(
                self._entry_state.daemons(), self._name
            ):
                peer = forwarding.as_target(daemon)
                if await self._send(peer, request):
                    return
        finally:
            self._schedule_introduction()

    async def _send(
        self, peer: state.LiveTarget, request: protocol.HttpRequest
    ) -> bool:
        """Send a notice; return whether the peer accepted it."""
        reply = await self._connections.exchange(
            peer, request, _NOTICE_TIMEOUT_MS, lambda reply: True
        )
        if isinstance(reply, result.Failure):
            _log.info(
                'notice not delivered',
                peer=peer.target_id,
                path=request.path,
                why=reply.failure().detail,
            )
            return False
        return reply.unwrap().status < 300
