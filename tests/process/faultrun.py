"""A run of concurrent callers under faults drawn from a seed.

``python -m tests.process.faultrun --seed 7 --seconds 60`` does one run and
prints how many operations were done, which faults fell when, and every
violation that the checkers of :mod:`tests.history` find.
"""

import asyncio
import collections
import dataclasses
import functools
import itertools
import random
import re
import signal
import sys
import typing

import aiohttp
import click

from tests import history
from tests.process import system as systems

_CALL_TIMEOUT_S = 15.0
_POLL_S = 0.1
_POLL_TIMEOUT_S = 0.3
IN_FORCE_WITHIN_MS = 5_000.0
_TARGET_FAULTS = (
    'truncate',
    'cross_answers',
    'cold_answers_empty',
    'wrong_snapshot',
    'shed',
    'cold',
    'lie_healthy',
)
_STORE_FAULTS = (
    'new snapshot',
    'store outage',
    'store loses answers',
    'store reads stale',
)
_OUTAGE_AT_S = 3.0
_KEBELES = ('bole', 'kirkos', 'yeka', 'arada', 'lideta')


@dataclasses.dataclass
class Recording:
    """Everything one run recorded."""

    calls: list[history.Call] = dataclasses.field(default_factory=list)
    samples: list[history.RevisionSample] = dataclasses.field(
        default_factory=list
    )
    accepted: list[history.AcceptedChange] = dataclasses.field(
        default_factory=list
    )
    changes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    faults: list[str] = dataclasses.field(default_factory=list)
    troubled: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )

    def excused(self, daemon: str, at_ms: float) -> bool:
        """Whether a daemon was cut off within the time limit before."""
        return any(
            name in (daemon, '*')
            and start <= at_ms <= end + IN_FORCE_WITHIN_MS
            for name, start, end in self.troubled
        )


class FaultRun:
    """Callers, a poller of revisions and a source of faults.

    With ``outage_s`` the store is down for that long from the third second
    on, and the faults that would bring it back are left out.
    """

    def __init__(
        self,
        system: systems.System,
        seed: int,
        callers: int = 8,
        outage_s: float = 0.0,
    ) -> None:
        self.system = system
        self.recording = Recording()
        self._random = random.Random(seed)
        self._callers = callers
        self._open_keys: list[tuple[str, str]] = []
        self._stopping = False
        self._changes = itertools.count(1)
        self._deck: list[str] = []
        self._outage_s = outage_s
        self._faults: dict[str, typing.Callable] = {
            'kill daemon': self._kill_daemon,
            'freeze daemon': self._freeze_daemon,
            'kill target': self._kill_target,
            'freeze target': self._freeze_target,
            'silence old target connections': self._silence_target,
            'silence old store connections': self._silence_store,
            'store outage': self._store_outage,
            'store loses answers': self._lose_answers,
            'store reads stale': self._stale_reads,
            'new snapshot': self._new_snapshot,
            'new configuration': self._new_configuration,
            'restart daemon': self._restart_daemon,
            'freeze site': self._freeze_site,
            'cut target': self._cut_target,
            **{
                f'target with {fault}': functools.partial(
                    self._wrong_target, fault
                )
                for fault in _TARGET_FAULTS
            },
        }
        if outage_s:
            for name in _STORE_FAULTS:
                del self._faults[name]

    async def run(self, seconds: float) -> None:
        """Call and break things for a while, then heal and settle."""
        tasks = [
            asyncio.create_task(self._caller(number))
            for number in range(self._callers)
        ]
        tasks.append(asyncio.create_task(self._operator()))
        poller = asyncio.create_task(self._poll())
        if self._outage_s:
            tasks.append(asyncio.create_task(self._long_outage()))
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            names = self._deal()
            await asyncio.gather(*(self._break(name) for name in names))
            await asyncio.sleep(self._random.uniform(0.3, 1.5))
        self._stopping = True
        await asyncio.gather(*tasks)
        await self._ask_open_keys()
        poller.cancel()

    def _deal(self) -> list[str]:
        """Draw two faults; each comes once before any comes again."""
        if len(self._deck) < 2:
            self._deck = sorted(self._faults)
            self._random.shuffle(self._deck)
        return [self._deck.pop(), self._deck.pop()]

    def verdicts(self) -> dict[str, history.Verdict]:
        """Judge the recording by every checker."""
        calls = self.recording.calls
        executions = self.system.executions()
        return {
            'at most once': history.check_at_most_once(calls, executions),
            'not run is true': history.check_not_run(calls, executions),
            'one snapshot': history.check_one_snapshot(
                calls, self.system.snapshot_versions
            ),
            'truthful coverage': history.check_coverage(
                calls, 'claims', systems.RECORD_LIMIT
            ),
            'own whole answer': history.check_own_answer(calls),
            'configuration': history.check_revisions(
                self.recording.samples,
                self.recording.accepted,
                IN_FORCE_WITHIN_MS,
                self.recording.excused,
            ),
        }

    def reasons(self) -> collections.Counter:
        """Count the refusals and unknown outcomes by what was said."""
        return collections.Counter(
            f'{call.kind} {call.kind_of_outcome} {_said(call.outcome)}'
            for call in self.recording.calls
            if call.kind_of_outcome in ('not-run', 'unknown')
        )

    def times_in_force_ms(self) -> list[float]:
        """Return the times, rounded up to the next poll, in order."""
        return sorted(
            history.times_in_force_ms(
                self.recording.samples,
                self.recording.accepted,
                self.recording.excused,
            )
        )

    def open_keys(self) -> tuple[int, int]:
        """Return how many keys there were, and how many ended unknown."""
        last = {
            call.idempotency_key: call.kind_of_outcome
            for call in self.recording.calls
            if call.kind == 'run'
        }
        return len(last), list(last.values()).count('unknown')

    def outcomes(self) -> collections.Counter:
        """Count the calls by kind and outcome."""
        return collections.Counter(
            f'{call.kind} {call.kind_of_outcome}'
            for call in self.recording.calls
        )

    async def _caller(self, number: int) -> None:
        rng = random.Random(f'{number}-{self._random.random()}')
        while not self._stopping:
            daemon = rng.choice(sorted(self.system.daemons))
            if rng.random() < 0.6:
                await self._search(daemon, rng)
            else:
                await self._run_once(daemon, rng)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _operator(self) -> None:
        """Change the configuration again and again, as the faults fall."""
        while not self._stopping:
            await asyncio.sleep(self._random.uniform(0.5, 1.5))
            await self._new_configuration()

    async def _search(self, daemon: str, rng: random.Random) -> None:
        if rng.random() < 0.7:
            terms = {'claimant': f'household-{rng.randrange(97)}'}
        else:
            terms = {'kebele': rng.choice(_KEBELES)}
        self._note(await self.system.search(daemon, terms))

    async def _run_once(self, daemon: str, rng: random.Random) -> None:
        """Run a new key, or one whose outcome is not known yet."""
        if self._open_keys and rng.random() < 0.5:
            key, household = rng.choice(self._open_keys)
        else:
            key = self.system.new_key()
            household = f'household-{rng.randrange(97)}'
        call = await self._run_key(daemon, key, household)
        pair = (key, household)
        if call.kind_of_outcome == 'completed':
            if pair in self._open_keys and rng.random() < 0.5:
                self._open_keys.remove(pair)
        elif rng.random() < 0.7 and pair not in self._open_keys:
            # Some are never asked again: their "not run" must hold alone.
            self._open_keys.append(pair)
        if rng.random() < 0.2:
            other = rng.choice(sorted(self.system.daemons))
            await asyncio.gather(
                self._run_key(other, key, household),
                self._run_key(daemon, key, household),
            )

    async def _run_key(
        self, daemon: str, key: str, household: str
    ) -> history.Call:
        return self._note(await self.system.pay(daemon, key, household))

    async def _ask_open_keys(self) -> None:
        """Ask every open key once more, now that all is healed."""
        daemons = sorted(self.system.daemons)
        await asyncio.gather(
            *(
                self._run_key(self._random.choice(daemons), key, household)
                for key, household in self._open_keys
            )
        )

    def _note(self, call: history.Call) -> history.Call:
        self.recording.calls.append(call)
        return call

    async def _poll(self) -> None:
        while True:
            names = sorted(self.system.daemons)
            await asyncio.gather(*map(self._sample, names))
            await asyncio.sleep(_POLL_S)

    async def _sample(self, name: str) -> None:
        url = f'{self.system.daemons[name].operator_url}/v1/status'
        asked_ms = systems.now_ms()
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                _, row = await self.system.call('GET', url)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return
        self.recording.samples.append(
            history.RevisionSample(
                name,
                row['incarnation'],
                asked_ms,
                row['revision'],
                row['ready'],
            )
        )

    async def _break(self, name: str) -> None:
        self.recording.faults.append(name)
        await self._faults[name]()

    def _some(self, names: typing.Iterable[str]) -> str:
        return self._random.choice(sorted(names))

    def _note_trouble(self, name: str, start_ms: float) -> None:
        row = (name, start_ms, systems.now_ms())
        self.recording.troubled.append(row)

    async def _kill_daemon(self) -> None:
        name = self._some(self.system.daemons)
        start_ms = systems.now_ms()
        self.system.kill(name)
        self.system.processes[name].wait()
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        self.system.start_daemon(name)
        await self.system.wait_ready(name)
        self._note_trouble(name, start_ms)

    async def _restart_daemon(self) -> None:
        name = self._some(self.system.daemons)
        start_ms = systems.now_ms()
        process = self.system.processes[name]
        self.system.kill(name, signal.SIGTERM)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        self.system.start_daemon(name)
        await self.system.wait_ready(name)
        self._note_trouble(name, start_ms)

    async def _freeze_daemon(self) -> None:
        name = self._some(self.system.daemons)
        start_ms = systems.now_ms()
        process = self.system.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(2.5, 6.0))
        process.send_signal(signal.SIGCONT)
        self._note_trouble(name, start_ms)

    async def _kill_target(self) -> None:
        name = self._some(self.system.target_urls)
        self.system.kill(name)
        self.system.processes[name].wait()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        self.system.restart_target(name)
        await self.system.wait_for(f'{self.system.target_urls[name]}/health')

    async def _freeze_target(self) -> None:
        name = self._some(self.system.target_urls)
        process = self.system.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        process.send_signal(signal.SIGCONT)

    async def _freeze_site(self) -> None:
        start_ms = systems.now_ms()
        site = self._random.choice(systems.SITES)
        frozen = [
            place.name
            for place in self.system.daemons.values()
            if place.site == site
        ]
        for name in frozen:
            self.system.kill(name, signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(2.5, 5.0))
        for name in frozen:
            self.system.kill(name, signal.SIGCONT)
            self._note_trouble(name, start_ms)

    async def _cut_target(self) -> None:
        name = self._some(self.system.target_urls)
        await self.system.relay_mode(systems.RELAY, name, 'cut')
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        await self.system.relay_mode(systems.RELAY, name, 'pass')

    async def _wrong_target(self, fault: str) -> None:
        """A target misbehaves for a while (and drains, if it lies)."""
        name = self._some(self.system.target_urls)
        draining = fault == 'lie_healthy'
        try:
            await self.system.target_faults(
                name, **{fault: True, 'draining': draining}
            )
            await asyncio.sleep(self._random.uniform(0.5, 2.5))
            await self.system.target_faults(name)
        except (aiohttp.ClientError, OSError):
            # Another fault has it down; a restarted target has none.
            self.recording.faults.append('(target was down)')

    async def _silence_target(self) -> None:
        name = self._some(self.system.target_urls)
        await self.system.relay_mode(systems.RELAY, name, 'silence-old')

    async def _silence_store(self) -> None:
        start_ms = systems.now_ms()
        await self.system.relay_mode(systems.RELAY, 'store', 'silence-old')
        self._note_trouble('*', start_ms)

    async def _store_outage(self) -> None:
        length_ms = self._random.uniform(2_000, 5_000)
        await self.system.store_faults(outage_ms=length_ms)
        await asyncio.sleep(length_ms / 1000.0)

    async def _long_outage(self) -> None:
        await asyncio.sleep(_OUTAGE_AT_S)
        self.recording.faults.append(f'store outage {self._outage_s:.0f} s')
        await self.system.store_faults(outage_ms=self._outage_s * 1_000.0)
        await asyncio.sleep(self._outage_s)

    async def _lose_answers(self) -> None:
        await self.system.store_faults(lose_answers=8)
        await asyncio.sleep(1.0)
        await self.system.store_faults()

    async def _stale_reads(self) -> None:
        await self.system.store_faults(stale_reads=8)
        await asyncio.sleep(1.0)
        await self.system.store_faults()

    async def _new_snapshot(self) -> None:
        await self.system.publish_snapshot(self._random.randint(4, 16))

    async def _new_configuration(self) -> None:
        name = self._some(self.system.daemons)
        number = next(self._changes)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                kind, revision = await self.system.change_configuration(
                    name, number
                )
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            kind, revision = 'no answer', 0
        self.recording.changes[kind] += 1
        if kind == 'accepted':
            self.recording.accepted.append(
                history.AcceptedChange(revision, systems.now_ms())
            )


def _said(outcome: typing.Mapping[str, typing.Any]) -> str:
    """Return a refusal's reason, or an unknown outcome's detail."""
    text = outcome.get('reason') or outcome.get('detail', '')
    if 'tried alone' in outcome.get('detail', ''):
        text += ' (on trial)'
    return re.sub(r'[0-9]+', 'N', text)


async def run_once(
    seed: int,
    daemons: int,
    seconds: float,
    callers: int = 8,
    outage_s: float = 0.0,
) -> FaultRun:
    """Build a system, run it under faults and return the run."""
    async with systems.running(daemons) as system:
        run = FaultRun(system, seed, callers, outage_s)
        await run.run(seconds)
        run.judged = run.verdicts()
    return run


def describe(run: FaultRun) -> str:
    """Return the operations, faults and violations of a run as text."""
    counts = collections.Counter(run.recording.faults)
    lines = [
        f'outcomes: {dict(sorted(run.outcomes().items()))}',
        f'reasons: {dict(sorted(run.reasons().items()))}',
        'keys: {}, of which {} ended unknown'.format(*run.open_keys()),
        f'faults: {dict(sorted(counts.items()))}',
        f'changes: {dict(sorted(run.recording.changes.items()))}',
    ]
    times = run.times_in_force_ms()
    if times:
        lines.append(
            f'in force at reachable daemons: {len(times)} times, median '
            f'{times[len(times) // 2]:.0f} ms, most {times[-1]:.0f} ms'
        )
    for promise, verdict in run.judged.items():
        found = len(verdict.violations)
        lines.append(f'{promise}: {verdict.judged} judged, {found} wrong')
        lines += [f'    {text[:600]}' for text in verdict.violations[:5]]
    return '\n'.join(lines)


@click.command()
@click.option('--seed', default=1)
@click.option('--seconds', default=30.0)
@click.option('--daemons', default=6)
@click.option('--callers', default=8)
@click.option('--outage', default=0.0, help='Seconds the store is down.')
def main(
    seed: int, seconds: float, daemons: int, callers: int, outage: float
) -> None:
    """Do one run and print what was judged."""
    run = asyncio.run(run_once(seed, daemons, seconds, callers, outage))
    print(f'seed {seed}, {daemons} daemons, {seconds:.0f} s')
    print(describe(run))
    wrong = any(verdict.violations for verdict in run.judged.values())
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
