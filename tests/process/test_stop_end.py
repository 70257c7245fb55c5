"""Forwarded requests that are pending when a stop reaches its limit."""

import asyncio
import json
import signal
import unittest

from standins import prepared_system

_STOP_LIMIT_S = 2.0
"""Stop limit, far below the service time and the callers' deadlines."""

_NEVER_S = 60.0
_DEADLINE_MS = 30_000


class StopEndTest(unittest.IsolatedAsyncioTestCase):
    """A daemon is stopped while targets hold requests without answering.

    Guards against connections that are closed at the stop limit without a
    response to their pending requests.
    """

    async def asyncSetUp(self) -> None:
        """Start store, targets that never answer, and one daemon."""
        self.system = await prepared_system.PreparedSystem().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.start_targets()
        for target in self.system.targets.values():
            target.delay_s = _NEVER_S
        self.system.configure(3, timeout_ms=_DEADLINE_MS)
        await self._start('one')

    async def _start(self, name: str) -> None:
        await self.system.start_daemon(
            name, stop_limit_s=_STOP_LIMIT_S, coordinators_per_site=1
        )

    def _ask(
        self,
        path: str,
        request_id: str,
        method: str = 'GET',
        daemon: str = 'one',
    ) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
        return asyncio.create_task(
            self.system.ask(daemon, path, request_id, method, _DEADLINE_MS)
        )

    async def _until_sent(self, request_id: str) -> None:
        while not self.system.runs_of(request_id):
            await asyncio.sleep(0.01)

    async def _assert_answered_unknown(self, *signals: int) -> None:
        """Stop the daemon with pending requests; each gets a 502.

        Targets have begun them, so that they are not refused as not run.
        """
        pending = [
            self._ask('/fetch/x', 'f1'),
            self._ask('/pay/x', 'p1', 'POST'),
            self._ask('/search/x', 's1'),
        ]
        for request_id in ('f1', 'p1', 's1'):
            await self._until_sent(request_id)
        for number, phase in zip(signals[:-1], ('leaving', 'draining')):
            # Signals pending at the same time are delivered only once.
            self.system.send('one', signal.Signals(number))
            while f'"phase":"{phase}"' not in self.system.log('one'):
                await asyncio.sleep(0.01)
        exit_status = await self.system.stop_daemon(
            'one', signal.Signals(signals[-1])
        )
        ends = await asyncio.gather(*pending, return_exceptions=True)
        self.assertEqual([502, 502, 502], [_status(end) for end in ends])
        self.assertEqual(0, exit_status)
        self.assertEqual(1, len(self.system.runs_of('p1')))

    async def test_what_is_open_at_the_end_is_answered(self) -> None:
        """Pending requests are answered before the daemon exits."""
        await self._assert_answered_unknown(signal.SIGTERM)

    async def test_what_is_open_after_a_second_signal_is_answered(
        self,
    ) -> None:
        """A second signal shortens the stop; requests are still answered."""
        await self._assert_answered_unknown(signal.SIGTERM, signal.SIGTERM)

    async def test_what_is_open_after_a_third_signal_is_answered(
        self,
    ) -> None:
        """A third signal ends the stop; requests are still answered."""
        await self._assert_answered_unknown(
            signal.SIGTERM, signal.SIGTERM, signal.SIGTERM
        )

    async def test_a_daemon_and_the_one_it_handed_to_stop_together(
        self,
    ) -> None:
        """A daemon and its coordinator stop at once, each with a caller.

        Both callers get a response, although one daemon waits for the other.
        """
        await self._start('two')
        names = {'one', 'two'}
        while not any(
            '"coordinates":false' in self.system.log(n) for n in names
        ):
            await asyncio.sleep(0.05)
        pending = [
            self._ask('/pay/x', f'p-{name}', 'POST', name) for name in names
        ]
        for name in names:
            await self._until_sent(f'p-{name}')
        stopped = await asyncio.gather(*map(self.system.stop_daemon, names))
        ends = await asyncio.gather(*pending, return_exceptions=True)
        self.assertEqual([502, 502], [_status(end) for end in ends])
        self.assertEqual([0, 0], stopped)

    async def test_the_log_names_what_a_stop_waits_for(self) -> None:
        """The log names the oldest pending request and its target.

        Without these, the log would not show what delayed a stop.
        """
        task = self._ask('/pay/x', 'p1', 'POST')
        await self._until_sent('p1')
        await self.system.stop_daemon('one')
        await asyncio.gather(task, return_exceptions=True)
        lines = map(json.loads, self.system.log('one').splitlines())
        phases = [row for row in lines if row['event'] == 'shutdown phase']
        draining = next(row for row in phases if row['phase'] == 'draining')
        (oldest,) = draining['oldest']
        self.assertEqual('p1', oldest['request_id'])
        self.assertEqual(self.system.runs_of('p1'), oldest['at'])


def _status(
    end: tuple[int, dict[str, str], bytes] | BaseException,
) -> int | str:
    """Return the status of a response, or the error of its connection."""
    if isinstance(end, BaseException):
        return repr(end)
    return end[0]
