"""A scripted tier: real coordinators, fake dispatchers, manual time."""

import asyncio
import collections
import dataclasses
import os
import random
import typing

from returns import result

from samphiredock import coordination
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import timers
from samphiredock import transport

SEED = int(os.environ.get('SAMPHIREDOCK_SEED', '20261202'))
INDEX = 'claims'
SERVICE_MS = 3.0
_STEP_MS = 1.0

Answer = protocol.SubAnswer
Status = protocol.SubStatus


def make_snapshot(
    snapshot_id: int = 1, shards: int = 4, targets: int = 8
) -> state.Snapshot:
    """Return an even snapshot with two replicas a shard."""
    edges = [state.KEY_SPACE_SIZE * n // shards for n in range(shards + 1)]
    rows = [
        state.Shard(
            f's{n}',
            protocol.KeyRange(edges[n], edges[n + 1]),
            [f't{n % targets}', f't{(n + targets // 2) % targets}'],
        )
        for n in range(shards)
    ]
    index = state.IndexSnapshot(snapshot_id, rows)
    return state.Snapshot(snapshot_id, {INDEX: index})


def make_search(**changes: object) -> state.Search:
    """Return a search of the index, by score, 50 records."""
    search = state.Search(
        'history',
        INDEX,
        160,
        0.5,
        'interactive',
        False,
        state.MergeKind.BY_SCORE,
        50,
    )
    return dataclasses.replace(search, **changes)


def make_configuration(
    search: state.Search, targets: int = 8, **limits: object
) -> state.Configuration:
    """Return a configuration of one service at one site."""
    service = state.Service('desk', {'history': search}, {}, 1.0, 100)
    return state.Configuration(
        1,
        {'desk': service},
        {'bole-a': state.Site('bole-a', 'addis', 1.0, 1.0, {})},
        (INDEX,),
        {
            f't{n}': state.Target(f't{n}', 'bole-a', 'http://t', 2, 25, 6)
            for n in range(targets)
        },
        state.Limits(**limits),
    )


def ask(**terms: str) -> protocol.SearchRequest:
    """Return a caller's search."""
    return protocol.SearchRequest('desk', 'history', terms)


@dataclasses.dataclass
class Desk:
    """One :class:`coordination.Scatter` driven by hand.

    Dispatcher of target ``tN`` is ``d(N mod 4)``.
    """

    snapshot: state.Snapshot = dataclasses.field(default_factory=make_snapshot)
    search: state.Search = dataclasses.field(default_factory=make_search)
    limits: state.Limits = dataclasses.field(default_factory=state.Limits)
    canary: bool = False
    now_ms: float = 0.0

    def __post_init__(self) -> None:
        self.unusable: set[str] = set()
        self.lost: list[str] = []
        self.succeeded = 0
        self.quarantine_after = 2
        self.suspected = False
        self.tools = coordination.Tools(
            self,
            coordination.Replicas(random.Random(SEED), lambda target: True),
            coordination.Latencies(),
            coordination.ExtraBudget(),
            self,
        )
        self.begin()

    def begin(self) -> None:
        """Plan one more search with the same tools."""
        plan = coordination.Plan(
            'q', 'desk', 'bole-a', self.search, {}, self.search.limit, 'f',
            self.snapshot, self.now_ms + self.search.deadline_ms,
        )  # fmt: skip
        self.scatter = coordination.Scatter(
            plan, self.tools, self.limits, self.canary
        )
        self.sent: dict[str, protocol.SubQuery] = {}
        self.waiting: dict[str, protocol.SubQuery] = {}
        self.alone: set[str] = set()
        self.drops: list[coordination.DropAttempts] = []
        self.outcome: protocol.SearchOutcome | None = None
        self.take(self.scatter.start(self.now_ms))

    # Routes and suspicions.

    def owner(self, target: str) -> str:
        return f'd{int(target[1:]) % 4}'

    def is_usable(self, target: str) -> bool:
        return target not in self.unusable

    def note_lost(self, fingerprint: str, target: str, service: str) -> None:
        self.lost.append(target)

    def note_succeeded(self, fingerprint: str) -> None:
        self.succeeded += 1

    def is_quarantined(self, fingerprint: str) -> bool:
        return len(set(self.lost)) >= self.quarantine_after

    def is_suspect(self, fingerprint: str) -> bool:
        return self.suspected or bool(self.lost)

    # Driving it.

    def take(self, effects: list) -> list[protocol.SubQuery]:
        """Note effects; return the attempts that were sent."""
        new = []
        for effect in effects:
            if isinstance(effect, coordination.SendAttempts):
                new += effect.items
                if effect.alone:
                    self.alone.update(row.attempt_id for row in effect.items)
            elif isinstance(effect, coordination.DropAttempts):
                self.drops.append(effect)
                for attempt_id in effect.attempt_ids:
                    self.waiting.pop(attempt_id, None)
            else:
                self.outcome = effect.outcome
        for item in new:
            self.sent[item.attempt_id] = self.waiting[item.attempt_id] = item
        return new

    def give(self, *answers: Answer) -> list[protocol.SubQuery]:
        """Deliver answers; return the attempts that this sent."""
        for answer in answers:
            self.waiting.pop(answer.attempt_id, None)
        return self.take(self.scatter.on_answers(answers, self.now_ms))

    def tick(self, delta_ms: float) -> list[protocol.SubQuery]:
        """Move time to each due moment in turn."""
        end_ms = self.now_ms + delta_ms
        new = []
        while self.outcome is None and self.scatter.next_due_ms() <= end_ms:
            self.now_ms = max(self.now_ms, self.scatter.next_due_ms())
            new += self.take(self.scatter.on_tick(self.now_ms))
        self.now_ms = end_ms
        return new

    def good(self, item: protocol.SubQuery, **changes: object) -> Answer:
        """Return a whole and sound answer, with changes."""
        return good_answer(self.snapshot, item, **changes)

    def failed(self, item: protocol.SubQuery, status: Status, **more: object):
        """Return an ending without content."""
        return Answer(item.attempt_id, item.target, status, **more)

    def give_rest(self) -> None:
        """Answer what waits, whole, until nothing does."""
        while self.waiting and self.outcome is None:
            self.give(*[self.good(row) for row in self.waiting.values()])


def good_answer(
    snapshot: state.Snapshot, item: protocol.SubQuery, **changes: object
) -> Answer:
    """Return a whole answer with one record, read at ``snapshot``."""
    shards = snapshot.indexes[item.index].shards
    (shard,) = [row for row in shards if row.shard_id == item.shard_id]
    values = {
        'snapshot_id': item.snapshot_id,
        'ranges': [shard.key_range],
        'records': [protocol.Record(f'k-{item.shard_id}', 1.0, {})],
        'service_ms': SERVICE_MS,
        **changes,
    }
    return Answer(item.attempt_id, item.target, Status.ANSWERED, **values)


class Store:
    """The platform's object calls that the quarantine uses."""

    def __init__(self) -> None:
        self.objects: dict[str, transport.StoredObject] = {}
        self.down = False

    async def get(self, key: str) -> result.Result:
        if self.down:
            return self._fail(transport.StoreErrorKind.UNAVAILABLE)
        if key not in self.objects:
            return self._fail(transport.StoreErrorKind.NOT_FOUND)
        return result.Success(self.objects[key])

    async def put(self, key: str, value: bytes, expected: int):
        if self.down:
            return self._fail(transport.StoreErrorKind.UNAVAILABLE)
        held = self.objects[key].version if key in self.objects else 0
        if held != expected:
            return self._fail(transport.StoreErrorKind.CONFLICT)
        self.objects[key] = transport.StoredObject(key, held + 1, value)
        return result.Success(held + 1)

    def _fail(self, kind: transport.StoreErrorKind) -> result.Failure:
        return result.Failure(transport.StoreError(kind, 'scripted'))


class Daemon:
    """A coordinator and a quarantine, wired to the scripted tier."""

    def __init__(self, tier: 'Tier', name: str) -> None:
        self.tier, self.name = tier, name
        self.handlers: dict[type, list] = collections.defaultdict(list)
        self.counters = metrics.Metrics(name)
        self.quarantine = coordination.Quarantine(
            self, self, tier.store, tier.clock, self.counters
        )
        self.admission = coordination.Admission(tier.clock)
        self.coordinator = coordination.Coordinator(
            name, 'bole-a', 1, tier, self, tier.clock, self.counters,
            self.quarantine, self.admission, random.Random(f'{SEED}-{name}'),
        )  # fmt: skip

    def send(self, member: str, message: object) -> bool:
        self.tier.mail.append((self.name, member, message))
        return True

    def subscribe(self, kind: type, handler: typing.Callable) -> None:
        self.handlers[kind].append(handler)

    def broadcast(self, message: object) -> None:
        for name in self.tier.daemons:
            if name != self.name:
                self.send(name, message)


class Tier:
    """Several daemons over fake targets; a poison term kills its target.

    All that runs at a target when it dies is reported broken, with
    ``ran_alone`` as it was asked.
    """

    def __init__(self, search: state.Search, daemons: int = 4) -> None:
        self.clock = timers.ManualTimers()
        self.snapshot = make_snapshot(1, 8, 16)
        self.configuration = make_configuration(search, 16)
        self.store = Store()
        self.mail: collections.deque = collections.deque()
        self.dead: list[str] = []
        self.silent: set[str] = set()
        self.running: dict[str, list] = collections.defaultdict(list)
        self.ran: list[tuple[str, dict[str, str]]] = []
        self.daemons: dict[str, Daemon] = {}
        for number in range(daemons):
            self.add(f'd{number}')

    def add(self, name: str) -> Daemon:
        """Start one more daemon, which knows nothing yet."""
        self.daemons[name] = Daemon(self, name)
        return self.daemons[name]

    def close(self) -> None:
        """Stop the exporters."""
        for daemon in self.daemons.values():
            daemon.counters.close()

    def owner(self, target: str) -> str:
        return f'd{int(target[1:]) % 2}'

    def is_usable(self, target: str) -> bool:
        return True

    async def gather(self, *searches: typing.Awaitable) -> list:
        """Run searches while time moves, until all have outcomes."""
        tasks = [asyncio.ensure_future(row) for row in searches]
        while not all(task.done() for task in tasks):
            await self.move(_STEP_MS)
        return [task.result() for task in tasks]

    async def move(self, delta_ms: float) -> None:
        """Deliver the mail, move time, deliver what that caused."""
        for _ in range(4):
            await asyncio.sleep(0)
            while self.mail:
                self._deliver(*self.mail.popleft())
        self.clock.advance(delta_ms)
        await asyncio.sleep(0)

    def _deliver(self, sender: str, to: str, message: object) -> None:
        if isinstance(message, protocol.SubQueryBatch):
            if to not in self.silent:
                for item in message.items:
                    self._start(sender, message, item)
        elif to in self.daemons:
            for handler in self.daemons[to].handlers[type(message)]:
                handler(sender, message)

    def _start(self, sender: str, batch, item) -> None:
        work = (sender, batch, item)
        if item.target in self.dead:
            self._answer(
                sender,
                batch,
                Answer(item.attempt_id, item.target, Status.UNREACHABLE),
            )
            return
        self.running[item.target].append(work)
        self.ran.append((item.target, batch.terms))
        self.clock.after(SERVICE_MS, lambda: self._end(work))

    def _end(self, work: tuple) -> None:
        sender, batch, item = work
        if work not in self.running[item.target]:
            return
        if 'poison' not in batch.terms.values():
            self.running[item.target].remove(work)
            self._answer(sender, batch, good_answer(self.snapshot, item))
            return
        self.dead.append(item.target)
        for origin, with_batch, row in self.running.pop(item.target):
            self._answer(
                origin,
                with_batch,
                Answer(
                    row.attempt_id,
                    row.target,
                    Status.BROKEN,
                    ran_alone=with_batch.alone,
                    target_lost=True,
                ),
            )

    def _answer(self, sender: str, batch, answer: Answer) -> None:
        reply = protocol.SubAnswerBatch(batch.query_id, [answer])
        self.mail.append((self.owner(answer.target), sender, reply))
