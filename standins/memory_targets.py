"""In-memory targets behind the dispatchers of a memory network."""

import collections
import typing

from samphiredock import protocol
from samphiredock import timers
from standins import memory_peers

POISON = 'poison'

_Status = protocol.SubStatus


class _Work(typing.NamedTuple):
    dispatcher: memory_peers.MemoryPeers
    sender: str
    batch: protocol.SubQueryBatch
    item: protocol.SubQuery


class MemoryTargets:
    """Answer sub-queries after a service time; ``POISON`` kills the target.

    Every sub-query running at a target when it dies is reported as broken,
    with ``ran_alone`` as in its batch.  ``dead`` lists the targets lost so
    far and ``ran`` the target and terms of each sub-query begun.  Dispatchers
    in ``silent`` ignore all batches.

    Parameters
    ----------
    clock
        The clock of the test.
    answer
        Returns the correct answer to a sub-query.
    service_ms
        How long each sub-query takes.
    """

    def __init__(
        self,
        clock: timers.Timers,
        answer: typing.Callable[[protocol.SubQuery], protocol.SubAnswer],
        service_ms: float,
    ) -> None:
        self._clock = clock
        self._answer = answer
        self._service_ms = service_ms
        self.dead: list[str] = []
        self.silent: set[str] = set()
        self.ran: list[tuple[str, dict[str, str]]] = []
        self._running: dict[str, list[_Work]] = collections.defaultdict(list)

    def serve(self, dispatcher: memory_peers.MemoryPeers) -> None:
        """Handle the sub-queries sent to a member of the network."""
        dispatcher.subscribe(
            protocol.SubQueryBatch,
            lambda sender, batch: self._on_batch(dispatcher, sender, batch),
        )

    def _on_batch(
        self,
        dispatcher: memory_peers.MemoryPeers,
        sender: str,
        batch: protocol.SubQueryBatch,
    ) -> None:
        if dispatcher.name in self.silent:
            return
        for item in batch.items:
            self._start(_Work(dispatcher, sender, batch, item))

    def _start(self, work: _Work) -> None:
        target = work.item.target
        if target in self.dead:
            self._fail(work, _Status.UNREACHABLE)
            return
        self._running[target].append(work)
        self.ran.append((target, work.batch.terms))
        self._clock.after(self._service_ms, lambda: self._end(work))

    def _end(self, work: _Work) -> None:
        target = work.item.target
        if work not in self._running[target]:
            return
        if POISON not in work.batch.terms.values():
            self._running[target].remove(work)
            self._reply(work, self._answer(work.item))
            return
        self.dead.append(target)
        for lost in self._running.pop(target):
            self._fail(
                lost,
                _Status.BROKEN,
                ran_alone=lost.batch.alone,
                target_lost=True,
            )

    def _fail(self, work: _Work, status: _Status, **more: bool) -> None:
        item = work.item
        self._reply(
            work,
            protocol.SubAnswer(item.attempt_id, item.target, status, **more),
        )

    def _reply(self, work: _Work, answer: protocol.SubAnswer) -> None:
        reply = protocol.SubAnswerBatch(work.batch.query_id, [answer])
        work.dispatcher.send(work.sender, reply)
