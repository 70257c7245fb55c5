"""Single failures with real processes, each in its own small system."""

import asyncio
import itertools
import signal
import unittest

import aiohttp

from tests import history
from tests.process import system as systems

_LEAVING_GRACE_MS = 5_000.0
_TRIES = 200


class ScenarioTest(unittest.IsolatedAsyncioTestCase):
    """Six daemons over three sites."""

    async def test_request_that_crashes_targets_is_refused_for_good(
        self,
    ) -> None:
        """A request that kills its targets is quarantined by all daemons.

        Its caller retries it through every daemon.  After the second lost
        target all daemons refuse it with ``retry_after_ms``, and still
        answer other requests.
        """
        async with systems.running(6) as system:
            for name in system.shard_targets:
                await system.target_faults(name, poison_term='poisoned')
            others = asyncio.create_task(_search_often(system, 40))
            told = []
            names = itertools.cycle(sorted(system.daemons))
            for name in itertools.islice(names, 18):
                told.append(await _search(system, name, 'poisoned'))
            innocent = await others
            dead = [
                name
                for name in system.shard_targets
                if system.processes[name].poll() is not None
            ]
        self.assertLessEqual(len(dead), 2)
        self.assertGreaterEqual(len(dead), 1)
        for outcome in told[-6:]:
            self.assertEqual('not-run', outcome['type'], told)
            self.assertEqual('quarantined', outcome['reason'])
            self.assertGreater(outcome['retry_after_ms'], 0)
        refused = [row for row in innocent if row['type'] == 'not-run']
        self.assertEqual([], refused)

    async def test_leaving_target_gets_no_new_work(self) -> None:
        """A leaving target gets no work after a grace period.

        The platform's object states that it leaves, although its own health
        endpoint still reports that it is healthy.
        """
        async with systems.running(6) as system:
            leaving = system.shard_targets[0]
            await _search_often(system, 10)
            await system.target_faults(
                leaving, lie_healthy=True, service_ms=1.0
            )
            await system.put_object(
                f'targets/{leaving}',
                {'leaving': True, 'at_ms': system.wall_ms()},
            )
            left_at_ms = {leaving: systems.now_ms()}
            await asyncio.sleep(_LEAVING_GRACE_MS / 1000.0)
            answers = await _search_often(system, 40)
            executions = system.executions()
        self.assertEqual({'answered'}, {row['type'] for row in answers})
        verdict = history.check_draining_targets(
            executions, left_at_ms, _LEAVING_GRACE_MS
        )
        self.assertEqual((), verdict.violations)
        self.assertGreater(verdict.judged, 0)

    async def test_frozen_holder_never_makes_a_second_run(self) -> None:
        """A key runs once although the daemon that claimed it is suspended.

        The daemon is suspended at various moments of the request, and
        resumes after another daemon got the same key.
        """
        async with systems.running(6) as system:
            calls = []
            for number in range(10):
                first, second = sorted(system.daemons)[:2]
                key = system.new_key()
                asked = asyncio.create_task(system.pay(first, key))
                await asyncio.sleep(0.002 * number)
                system.kill(first, signal.SIGSTOP)
                calls.append(await system.pay(second, key))
                system.kill(first, signal.SIGCONT)
                calls.append(await asked)
                calls.append(await system.pay(second, key))
            executions = system.executions()
        self.assert_runs_hold(calls, executions)

    async def test_killed_holder_with_a_lost_store_answer(self) -> None:
        """A claim is effective although its writer got no response.

        The store writes the claim but loses the response, the daemon is
        killed, and the caller sends the key to another daemon.
        """
        async with systems.running(6) as system:
            calls = []
            for number in range(4):
                name = sorted(system.daemons)[number]
                key = system.new_key()
                await system.store_faults(lose_answers=1)
                asked = asyncio.create_task(system.pay(name, key))
                await asyncio.sleep(0.005 * number)
                system.kill(name)
                calls.append(await asked)
                await system.store_faults()
                for other in sorted(system.daemons)[4:]:
                    calls.append(await system.pay(other, key))
            calls += await _pay_until_completed(system, 'entry-5')
            executions = system.executions()
        self.assert_runs_hold(calls, executions)

    async def test_stop_of_one_daemon_cuts_nothing(self) -> None:
        """SIGTERM during searches and unrepeatable requests.

        There is no balancer.  All callers get an outcome, those of the
        stopping daemon and of the daemons it dispatches for, and it exits
        with 0.
        """
        async with systems.running(6) as system:
            for name in system.target_urls:
                await system.target_faults(name, service_ms=40.0)
            asked = []
            for number, name in enumerate(sorted(system.daemons) * 3):
                terms = {'claimant': f'household-{number}'}
                asked.append(asyncio.create_task(system.search(name, terms)))
                pay = system.pay(name, system.new_key())
                asked.append(asyncio.create_task(pay))
            await asyncio.sleep(0.05)
            system.kill('entry-1', signal.SIGTERM)
            calls = await asyncio.gather(*asked)
            while system.processes['entry-1'].poll() is None:
                await asyncio.sleep(0.05)
            executions = system.executions()
        self.assertEqual(0, system.processes['entry-1'].returncode)
        self.assertEqual((), history.check_all_answered(calls).violations)
        self.assert_runs_hold(calls, executions)
        runs = [row for row in calls if row.outcome_type == 'completed']
        self.assertGreater(len(runs), 9)

    async def test_restart_with_nothing_kept_while_store_is_down(
        self,
    ) -> None:
        """Daemons that start without the store get state from their peers.

        They answer searches, and refuse unrepeatable requests as not run
        until the store is back.
        """
        async with systems.running(6) as system:
            await system.store_faults(outage_ms=120_000)
            names = ('entry-2', 'entry-3')
            for name in names:
                system.kill(name)
                system.processes[name].wait()
                system.start_daemon(name)
            await system.wait_ready(*names)
            found = await _search_often(system, 12)
            keys = {name: system.new_key() for name in names}
            refused = [await system.pay(name, keys[name]) for name in names]
            early = [row for row in system.executions() if row.kind == 'run']
            await system.store_faults()
            calls = [await system.pay(name, keys[name]) for name in names]
            executions = system.executions()
            kept = _kept_of(system, found)
        self.assertEqual({'answered'}, {row['type'] for row in found}, kept)
        for call in refused:
            self.assertEqual('platform-unavailable', call.outcome['reason'])
        self.assertEqual([], early)
        self.assert_runs_hold(refused + calls, executions)

    def assert_runs_hold(
        self,
        calls: list[history.Call],
        executions: list[history.Execution],
    ) -> None:
        """Check that keys ran at most once and "not run" is true."""
        for check in (history.check_at_most_once, history.check_not_run):
            self.assertEqual((), check(calls, executions).violations)
        self.assertGreater(len(executions), 0)

    async def test_accepted_configuration_outlives_store_and_freeze(
        self,
    ) -> None:
        """An accepted change reaches every daemon without the store.

        The store fails just after the change is accepted, while one site is
        suspended.  The site resumes and another daemon restarts.
        """
        async with systems.running(6) as system:
            frozen = [
                place.name
                for place in system.daemons.values()
                if place.site == systems.SITES[2]
            ]
            for name in frozen:
                system.kill(name, signal.SIGSTOP)
            kind, revision = await system.change_configuration('entry-1', 1)
            self.assertEqual('accepted', kind)
            await system.store_faults(outage_ms=60_000)
            for name in frozen:
                system.kill(name, signal.SIGCONT)
            system.kill('entry-2')
            system.processes['entry-2'].wait()
            system.start_daemon('entry-2')
            seen = await _wait_for_revision(system, revision)
            await system.wait_ready()
        self.assertEqual({revision}, set(seen.values()), seen)


async def _wait_for_revision(
    system: systems.System, revision: int
) -> dict[str, int]:
    """Poll up to ``_TRIES`` times until all daemons have the revision."""
    seen: dict[str, int] = {}
    for _ in range(_TRIES):
        for name, place in system.daemons.items():
            try:
                _, row = await system.call(
                    'GET', f'{place.operator_url}/v1/status'
                )
                seen[name] = row['revision']
            except (aiohttp.ClientError, OSError):
                seen[name] = 0
        if set(seen.values()) == {revision}:
            break
        await asyncio.sleep(0.1)
    return seen


async def _search(system: systems.System, daemon: str, claimant: str) -> dict:
    call = await system.search(daemon, {'claimant': claimant})
    return call.outcome or {'type': 'none'}


async def _search_often(system: systems.System, count: int) -> list[dict]:
    """Search ``count`` times, through each daemon in turn."""
    names = itertools.cycle(sorted(system.daemons))
    answers = []
    for number, name in enumerate(itertools.islice(names, count)):
        household = f'household-{number % 97}'
        answers.append(await _search(system, name, household))
        await asyncio.sleep(0.01)
    return answers


def _kept_of(system: systems.System, found: list[dict]) -> str:
    """Return outcomes and logs if a search was not fully answered."""
    short = {
        number: {key: row[key] for key in row if key != 'records'}
        for number, row in enumerate(found)
        if row['type'] != 'answered'
    }
    if not short:
        return ''
    logs = [
        f'{name}: {(system.folder / name).with_suffix(".log").read_text()}'
        for name in sorted(system.daemons)
    ]
    return '\n'.join([f'by number of the search: {short}', *logs])


async def _pay_until_completed(
    system: systems.System, daemon: str
) -> list[history.Call]:
    """Send payouts up to ``_TRIES`` times until one completes.

    Killed daemons own targets until their peers consider them dead.
    """
    calls = []
    for _ in range(_TRIES):
        calls.append(await system.pay(daemon, system.new_key()))
        if calls[-1].outcome_type == 'completed':
            break
        await asyncio.sleep(0.1)
    return calls
