"""A run of concurrent callers under seeded random faults.

``python -m tests.process.faultrun --seed 7 --seconds 60`` does one run and
prints the counts of outcomes and faults, and the violations found by the
checkers of :mod:`tests.history`.
"""

import asyncio
import collections
import itertools
import random
import re
import sys
import typing

import aiohttp
import click

from tests import history
from tests.process import faults
from tests.process import system as systems

_CALL_TIMEOUT_S = 15.0
_POLL_S = 0.1
_POLL_TIMEOUT_S = 0.3
_KEBELES = ('bole', 'kirkos', 'yeka', 'arada', 'lideta')


class FaultRun:
    """Callers, a poller of revisions, and injected faults.

    With ``outage_s`` the store is down for that time, from shortly after the
    start, and the faults that would end its outage are left out.
    """

    def __init__(
        self,
        system: systems.System,
        seed: int,
        callers: int = 8,
        outage_s: float = 0.0,
    ) -> None:
        self.system = system
        self.recording = faults.Recording()
        self._random = random.Random(seed)
        self._callers = callers
        self._open_keys: list[tuple[str, str]] = []
        self._stopping = False
        self._changes = itertools.count(1)
        self._outage_s = outage_s
        self._faults = faults.Faults(
            system, self.recording, seed, store_is_out=bool(outage_s)
        )

    async def run(self, seconds: float) -> None:
        """Run callers under faults, then repeat the unfinished requests."""
        tasks = [
            asyncio.create_task(self._caller(number))
            for number in range(self._callers)
        ]
        tasks.append(asyncio.create_task(self._operator()))
        poller = asyncio.create_task(self._poll())
        if self._outage_s:
            tasks.append(
                asyncio.create_task(self._faults.long_outage(self._outage_s))
            )
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await self._faults.inject_two()
            await asyncio.sleep(self._random.uniform(0.3, 1.5))
        self._stopping = True
        await asyncio.gather(*tasks)
        await self._ask_open_keys()
        poller.cancel()

    def verdicts(self) -> dict[str, history.Verdict]:
        """Apply every checker to the recording."""
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
            'own whole answer': history.check_matching_records(calls),
            'configuration': history.check_revisions(
                self.recording.samples,
                self.recording.accepted,
                faults.IN_FORCE_WITHIN_MS,
                self.recording.excused,
            ),
        }

    def reasons(self) -> collections.Counter:
        """Count the refusals and unknown outcomes by reason."""
        return collections.Counter(
            f'{call.kind} {call.outcome_type} {_reason_of(call.outcome)}'
            for call in self.recording.calls
            if call.outcome_type in ('not-run', 'unknown')
        )

    def times_in_force_ms(self) -> list[float]:
        """Return the sorted times until changes were in force, in ms.

        They are rounded up to the next poll.
        """
        return sorted(
            history.times_in_force_ms(
                self.recording.samples,
                self.recording.accepted,
                self.recording.excused,
            )
        )

    def open_keys(self) -> tuple[int, int]:
        """Return the number of keys, and of those that ended as unknown."""
        last = {
            call.idempotency_key: call.outcome_type
            for call in self.recording.calls
            if call.kind == 'run'
        }
        return len(last), list(last.values()).count('unknown')

    def outcomes(self) -> collections.Counter:
        """Count the calls by kind and outcome."""
        return collections.Counter(
            f'{call.kind} {call.outcome_type}' for call in self.recording.calls
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
        """Change the configuration repeatedly during the faults."""
        while not self._stopping:
            await asyncio.sleep(self._random.uniform(0.5, 1.5))
            racers = self._random.choice((1, 1, 2))
            await asyncio.gather(
                *(self._new_configuration() for _ in range(racers))
            )

    async def _search(self, daemon: str, rng: random.Random) -> None:
        if rng.random() < 0.7:
            terms = {'claimant': f'household-{rng.randrange(97)}'}
        else:
            terms = {'kebele': rng.choice(_KEBELES)}
        self._record(await self.system.search(daemon, terms))

    async def _run_once(self, daemon: str, rng: random.Random) -> None:
        """Run a request with a new key, or one without final outcome."""
        if self._open_keys and rng.random() < 0.5:
            key, household = rng.choice(self._open_keys)
        else:
            key = self.system.new_key()
            household = f'household-{rng.randrange(97)}'
        call = await self._run_key(daemon, key, household)
        pair = (key, household)
        if call.outcome_type == 'completed':
            if pair in self._open_keys and rng.random() < 0.5:
                self._open_keys.remove(pair)
        elif rng.random() < 0.7 and pair not in self._open_keys:
            # Some are never repeated, to check that their "not run" is true.
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
        return self._record(await self.system.pay(daemon, key, household))

    async def _ask_open_keys(self) -> None:
        """Repeat every open key once more, without faults."""
        daemons = sorted(self.system.daemons)
        await asyncio.gather(
            *(
                self._run_key(self._random.choice(daemons), key, household)
                for key, household in self._open_keys
            )
        )

    def _record(self, call: history.Call) -> history.Call:
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

    async def _new_configuration(self) -> None:
        name = self._random.choice(sorted(self.system.daemons))
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


def _reason_of(outcome: typing.Mapping[str, typing.Any]) -> str:
    """Return the reason or detail of an outcome, without its numbers."""
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
    """Do one run and print the verdicts."""
    run = asyncio.run(run_once(seed, daemons, seconds, callers, outage))
    print(f'seed {seed}, {daemons} daemons, {seconds:.0f} s')
    print(describe(run))
    wrong = any(verdict.violations for verdict in run.judged.values())
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
