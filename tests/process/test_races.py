"""Concurrent conflicting requests, with real processes and no faults."""

import asyncio
import collections
import unittest

from tests import history
from tests.process import system as systems

_KEYS = 30
_SECONDS = 6.0
_SERVICE_MS = 20.0
_FLOOD_CALLERS = 60
_QUIET_CALLERS = 12
_LEAST_SHARE = 0.21
"""Between a quiet site's part of the callers and its configured share."""


class SameKeyTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons get the same idempotency key at the same time."""

    async def test_same_request_runs_once(self) -> None:
        """Both callers get the outcome of a single run.

        The daemon that loses the conditional write finds the winner's claim
        and waits for its outcome.
        """
        async with systems.running(6) as system:
            names = sorted(system.daemons)
            calls: list[history.Call] = []
            for number in range(_KEYS):
                pair = names[number % 6], names[(number + 1) % 6]
                key = system.new_key()
                calls += await asyncio.gather(
                    *(system.pay(name, key) for name in pair)
                )
            executions = system.executions()
        for check in (history.check_at_most_once, history.check_not_run):
            self.assertEqual((), check(calls, executions).violations)
        self.assertEqual(_KEYS, len(executions))
        told = collections.Counter(
            call.idempotency_key
            for call in calls
            if call.outcome_type == 'completed'
        )
        both = [key for key, count in told.items() if count == 2]
        self.assertGreater(len(both), _KEYS // 2, told)

    async def test_other_body_is_refused(self) -> None:
        """Of two bodies with one key, one runs and the other is refused.

        The bodies race at two daemons.  Then a third daemon, which reads the
        winner's claim, gets the body of the loser.
        """
        async with systems.running(6) as system:
            first, second, third = sorted(system.daemons)[:3]
            rows = []
            for number in range(_KEYS):
                key = system.new_key()
                pair = await asyncio.gather(
                    system.pay(first, key, 'household-1'),
                    system.pay(second, key, 'household-2'),
                )
                lost = 1 if pair[0].outcome_type == 'completed' else 0
                again = await system.pay(third, key, f'household-{lost + 1}')
                rows.append((pair, pair[lost], again))
            executions = system.executions()
        runs = collections.Counter(row.idempotency_key for row in executions)
        self.assertEqual(dict.fromkeys(runs, 1), dict(runs))
        self.assertEqual(_KEYS, len(runs))
        for pair, loser, again in rows:
            told = [call.outcome_type for call in pair]
            self.assertLessEqual(told.count('completed'), 1, pair)
            for call in (loser, again):
                self.assertNotEqual('completed', call.outcome_type, call)
            self.assertEqual('idempotency-key-reused', again.outcome['reason'])


class SiteShareTest(unittest.IsolatedAsyncioTestCase):
    """One site overloads targets that all sites use."""

    async def test_flooding_site_leaves_the_others_their_share(self) -> None:
        """The quiet sites get their shares of the targets under overload.

        One site has five times as many callers as each other site.  A single
        queue would serve the sites by their number of callers.
        """
        async with systems.running(6) as system:
            for name in system.shard_targets:
                await system.target_faults(name, service_ms=_SERVICE_MS)
            sites = {
                place.name: place.site for place in system.daemons.values()
            }
            stop = asyncio.Event()
            tasks = []
            for name, site in sorted(sites.items()):
                flood = site == systems.SITES[0]
                count = (_FLOOD_CALLERS if flood else _QUIET_CALLERS) // 2
                tasks += [
                    asyncio.create_task(_search_on(system, name, stop))
                    for _ in range(count)
                ]
            await asyncio.sleep(_SECONDS)
            stop.set()
            await asyncio.gather(*tasks)
            served = collections.Counter(
                sites[row.attempt_id.rsplit('-', 2)[0]]
                for row in system.executions()
            )
        total = sum(served.values())
        print(f'\nitems begun at the targets: {dict(served)}', flush=True)
        self.assertGreater(total, 1_000)
        for site in systems.SITES[1:]:
            self.assertGreater(served[site] / total, _LEAST_SHARE, served)


async def _search_on(
    system: systems.System, daemon: str, stop: asyncio.Event
) -> None:
    number = 0
    while not stop.is_set():
        number += 1
        terms = {'claimant': f'household-{number % 97}'}
        call = await system.search(daemon, terms)
        if call.outcome_type not in ('answered', 'partial'):
            await asyncio.sleep(0.05)
