"""Rolling restart of all daemons under load."""

import asyncio
import itertools
import signal
import unittest

from tests import history
from tests.process import system as systems

_CALLERS = 6
_BALANCER_LAG_MS = 400


class ReplaceEveryDaemonTest(unittest.IsolatedAsyncioTestCase):
    """Eight daemons behind a balancer."""

    async def test_no_request_is_cut(self) -> None:
        """A caller behind the balancer never sees a broken connection.

        Each daemon in turn gets SIGTERM while the balancer, which polls
        readiness with a lag, still sends it requests on kept-alive
        connections.  It serves them, hands its targets over, and exits.
        """
        async with systems.running(8) as system:
            url = await system.start_balancer(_BALANCER_LAG_MS)
            calls: list[history.Call] = []
            stop = asyncio.Event()
            numbers = itertools.count(1)
            callers = [
                asyncio.create_task(_call(system, url, calls, numbers, stop))
                for _ in range(_CALLERS)
            ]
            for name in sorted(system.daemons):
                system.kill(name, signal.SIGTERM)
                while system.processes[name].poll() is None:
                    await asyncio.sleep(0.05)
                self.assertEqual(0, system.processes[name].returncode)
                system.start_daemon(name)
                await system.wait_ready(name)
            stop.set()
            await asyncio.gather(*callers)
            executions = system.executions()
        for verdict in (
            history.check_all_answered(calls),
            history.check_at_most_once(calls, executions),
            history.check_coverage(calls, 'claims', systems.RECORD_LIMIT),
        ):
            self.assertEqual((), verdict.violations)
            self.assertGreater(verdict.judged, 100)
        unknown = [c for c in calls if c.outcome_type == 'unknown']
        self.assertEqual([], unknown)


async def _call(
    system: systems.System,
    url: str,
    calls: list[history.Call],
    numbers: itertools.count,
    stop: asyncio.Event,
) -> None:
    """Send searches and unrepeatable requests until ``stop`` is set."""
    while not stop.is_set():
        number = next(numbers)
        if number % 3:
            terms = {'claimant': f'household-{number % 97}'}
            calls.append(await system.search('balancer', terms, url))
        else:
            calls.append(
                await system.pay('balancer', system.new_key(), url=url)
            )
        await asyncio.sleep(0.01)
