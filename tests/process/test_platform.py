"""The real program on the stand-in of the users' platform."""

import asyncio
import json
import signal
import unittest

from standins import cluster
from standins import endless_bytes
from standins import prepared_system


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Store and targets in this process, daemons as processes."""

    async def asyncSetUp(self) -> None:
        """Start store and targets; the configuration is version 3."""
        self.system = await prepared_system.PreparedSystem().__aenter__()
        self.addAsyncCleanup(self.system.__aexit__, None, None, None)
        await self.system.start_targets()
        self.system.configure(3)

    async def _until(self, status: int, daemon: str, path: str) -> None:
        """Send requests until one gets the status; fail after 400."""
        for number in range(400):
            got, _, _ = await self.system.ask(daemon, path, f'try-{number}')
            if got == status:
                return
            await asyncio.sleep(0.02)
        self.fail(f'never {status}: {self.system.log(daemon)[-2000:]}')

    async def test_a_search_asks_every_shard(self) -> None:
        """The answer has the greatest records and a receipt of each shard."""
        await self.system.start_daemon('one')
        status, headers, body = await self.system.ask(
            'one', '/search/x?y=%20', 'r1'
        )
        self.assertEqual(200, status)
        self.assertEqual('0', headers['Missing-Parts'])
        receipts = headers['Part-Stamps'].split(', ')
        asked = {row.removeprefix('r1.').rsplit('-', 1)[0] for row in receipts}
        self.assertEqual(set(prepared_system.SHARDS), asked)
        every = b''.join(
            self.system.targets[f'{shard}-0'].records()
            for shard in prepared_system.SHARDS
        )
        rows = [every[at : at + 16] for at in range(0, len(every), 16)]
        self.assertEqual(b''.join(sorted(rows, reverse=True)[:5]), body)

    async def test_bad_requests_get_a_clear_error(self) -> None:
        """Nothing is sent to a target."""
        await self.system.start_daemon('one')
        for path, request_id, status in (
            ('/none/x', 'r1', 404),
            ('/search', 'r2', 404),
            ('/fetch/x', '', 400),
        ):
            got, _, _ = await self.system.ask('one', path, request_id)
            self.assertEqual(status, got, path)
        self.assertEqual([], self.system.runs)

    async def test_a_lost_answer_is_not_run_a_second_time(self) -> None:
        """A payment whose response is lost is not sent to another target.

        The caller gets a 502, which states neither that it ran nor that it
        did not.
        """
        await self.system.start_daemon('one')
        for number in range(2):
            self.system.targets[f'desk-{number}'].lose_answers = True
        status, _, _ = await self.system.ask('one', '/pay/x', 'p1', 'POST')
        self.assertEqual(502, status)
        self.assertEqual(1, len(self.system.runs_of('p1')))

    async def test_endless_bytes_of_a_target_cost_no_answer(self) -> None:
        """Every request that met such a target waited until its timeout.

        Another target serves what may be repeated; a payment is not repeated,
        since it may have run; no answer has a part of what was written.
        """
        await self.system.start_daemon('one', first_start=True)
        await self.system.wait_share('one')
        ways = [row for row in endless_bytes.REPLIES.items() if row[1][1]]
        for number, (name, way) in enumerate(ways):
            with self.subTest(name):
                for target in ('desk-0', 'shard-1-0'):
                    self.system.targets[target].endless = way
                for path in ('/fetch/x', '/search/x'):
                    status, headers, _ = await self.system.ask(
                        'one', path, f'{path}-{number}'
                    )
                    self.assertEqual(200, status)
                    self.assertEqual('0', headers.get('Missing-Parts', '0'))
                request_id = f'pay-{number}'
                status, _, _ = await self.system.ask(
                    'one', '/pay/x', request_id, 'POST'
                )
                self.assertIn(status, (200, 502))
                self.assertEqual(1, len(self.system.runs_of(request_id)))

    async def test_a_leaving_target_gets_no_new_work(self) -> None:
        """A target whose entry is draining gets no requests."""
        await self.system.start_daemon('one')
        self.system.register('desk-0', 'draining')
        for number in range(400):
            before = len(self.system.runs)
            await self.system.ask('one', '/fetch/x', f'f{number}')
            if number > 3 and 'desk-0' not in str(self.system.runs[-20:]):
                break
            self.assertEqual(before + 1, len(self.system.runs))
            await asyncio.sleep(0.02)
        else:
            self.fail('desk-0 still gets work')

    async def test_a_target_that_starts_again_under_its_id(self) -> None:
        """No answer has records from before a target's restart.

        All targets of two shards restart under their ids, at new addresses
        and with other records, while requests run and another writer adds
        an invalid entry.
        """
        await self.system.start_daemon('one')
        old = self.system.targets['shard-1-0'].records()
        for name in ('shard-1-0', 'shard-1-1', 'shard-2-0', 'shard-2-1'):
            await self.system.restart_target(name, born=2)
            self.system.store.put('servers', 'other', {'State': 7})
            await self.system.ask('one', '/search/x', f'meanwhile-{name}')
        new = self.system.targets['shard-1-0'].records()
        await self._until_missing_is('0', 'one')
        for number in range(20):
            _, headers, body = await self.system.ask(
                'one', '/search/x', f'after-{number}'
            )
            rows = {body[at : at + 16] for at in range(0, len(body), 16)}
            before = {old[at : at + 16] for at in range(0, len(old), 16)}
            self.assertEqual('0', headers['Missing-Parts'])
            self.assertEqual(set(), rows & (before - {new[:16]}))
        log = self.system.log('one')
        self.assertEqual(1, log.count('object cannot be read'))
        self.assertIn('started again', log)

    async def _until_missing_is(self, number: str, daemon: str) -> None:
        """Search until ``number`` parts are missing; fail after 400 tries."""
        for step in range(400):
            status, headers, _ = await self.system.ask(
                daemon, '/search/x', f'missing-{step}'
            )
            if status == 200 and headers['Missing-Parts'] == number:
                return
            await asyncio.sleep(0.02)
        self.fail(self.system.log(daemon)[-2000:])

    async def test_changes_come_after_a_cut_and_a_lost_history(self) -> None:
        """A route is added while the store cuts watches and drops history.

        After the 410 the daemon reads everything again and applies the new
        route.  It ignores an older version that the store shows later.
        """
        await self.system.start_daemon('one')
        self.system.store.cut_watches()
        self.system.configure(4, '/found/')
        self.system.store.forget_history()
        await self._until(200, 'one', '/found/x')
        self.system.configure(2, '/search/')
        await asyncio.sleep(0.6)
        status, _, _ = await self.system.ask('one', '/found/x', 'r9')
        self.assertEqual(200, status)

    async def test_an_outage_of_the_store_costs_no_request(self) -> None:
        """Target entries expire during the outage and return after it."""
        await self.system.start_daemon('one')
        self.system.store.faults.status = 503
        self.system.store.cut_watches()
        for name in self.system.targets:
            self.system.store.remove('servers', name)
        for number in range(20):
            status, _, _ = await self.system.ask(
                'one', '/search/x', f'o{number}'
            )
            self.assertEqual(200, status)
            await asyncio.sleep(0.02)
        self.system.store.faults.status = 0
        for number in range(20):
            status, _, _ = await self.system.ask(
                'one', '/search/x', f'b{number}'
            )
            self.assertEqual(200, status)
            await asyncio.sleep(0.02)
            if number == 5:
                for name in self.system.targets:
                    self.system.register(name)

    async def test_a_stop_cuts_no_request(self) -> None:
        """Callers use their open connections until the daemon closes them."""
        await self.system.start_daemon('one')
        for target in self.system.targets.values():
            target.delay_s = 0.05
        statuses: list[int] = []

        async def caller(number: int) -> None:
            for step in range(100):
                try:
                    status, headers, _ = await self.system.ask(
                        'one', '/search/x', f's{number}-{step}'
                    )
                except OSError:
                    # The daemon accepts no new connections: nothing was sent.
                    return
                statuses.append(status)

        tasks = [asyncio.create_task(caller(number)) for number in range(8)]
        await asyncio.sleep(0.3)
        exit_status = await self.system.stop_daemon('one')
        await asyncio.gather(*tasks)
        self.assertEqual(0, exit_status)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(
            set(), self.system.store.names('samphiredock-daemons')
        )

    async def test_a_lost_coordinator_costs_no_request(self) -> None:
        """The only coordinator of three daemons is killed.

        The others handed requests over to it.  They find no other
        coordinator and coordinate themselves.
        """
        for name in ('one', 'two', 'three'):
            await self.system.start_daemon(name, coordinators_per_site=1)
        lost = await self._coordinator()
        await self.system.stop_daemon(lost, signal.SIGKILL)
        for name in self.system.caller_addresses:
            if name != lost:
                await self._until(200, name, '/search/x')

    async def _connect_to_one_that_starts(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to a daemon before it has imported its libraries."""
        await self.system.start_daemon('one')
        await self.system.stop_daemon('one', signal.SIGKILL)
        self.system.launch_daemon('one')
        host, port = self.system.caller_addresses['one'].split(':')
        while True:
            try:
                return await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(0.005)

    async def test_a_caller_that_comes_during_the_start_is_served(
        self,
    ) -> None:
        """A caller that connects while the daemon still imports is served.

        Its connection waits in the listen queue until routes and targets are
        known, and is neither reset nor refused.
        """
        reader, writer = await self._connect_to_one_that_starts()
        writer.write(
            f'GET /search/x HTTP/1.1\r\nHost: {prepared_system.HOST}\r\n'
            f'Request-Id: early\r\nDeadline-Ms: 3000\r\n\r\n'.encode()
        )
        async with asyncio.timeout(20.0):
            line = await reader.readline()
        writer.close()
        self.assertIn(b' 200 ', line)

    async def test_a_daemon_that_starts_without_the_store_is_told(
        self,
    ) -> None:
        """A daemon that restarts without the store hands requests over.

        It knows no routes, targets or daemons, and would refuse all callers.
        The other daemon still lists it and tells it who coordinates.
        """
        for name in ('one', 'two'):
            await self.system.start_daemon(name)
        await self._logged('two', '"now":2')
        await self.system.stop_daemon('one', signal.SIGKILL)
        away = f'127.0.0.1:{cluster.free_ports(1)[0]}'
        self.system.write_settings('one', platform_address=away)
        self.system.launch_daemon('one')
        await self._logged('one', 'introduced by another daemon')
        await self._until(200, 'one', '/search/x')

    async def test_a_reload_during_the_start_ends_nothing(self) -> None:
        """SIGHUP before its handler is installed does not kill the daemon.

        Otherwise waiting callers would be reset.
        """
        _, writer = await self._connect_to_one_that_starts()
        self.system.send('one', signal.SIGHUP)
        await self.system.wait_ready('one')
        writer.close()

    async def _coordinator(self) -> str:
        """Wait until two daemons hand requests over; return the third."""
        for _ in range(400):
            handing = [
                name
                for name in self.system.caller_addresses
                if '"coordinates":false' in self.system.log(name)
            ]
            if len(handing) == 2:
                break
            await asyncio.sleep(0.05)
        status, _, _ = await self.system.ask(handing[0], '/search/x', 'h1')
        self.assertEqual(200, status)
        self.assertEqual(4, len(self.system.runs_of('h1')))
        return next(iter(set(self.system.caller_addresses) - set(handing)))

    async def test_settings_change_while_it_runs(self) -> None:
        """Settings reload with and without a signal; invalid ones do not."""
        await self.system.start_daemon('one')
        self.system.write_settings('one', retry_ratio=0.4)
        self.system.send('one', signal.SIGHUP)
        await self._logged('one', '"changed":["retry_ratio"]')
        self.system.write_settings('one', retry_ratio='much')
        await self._logged('one', 'settings are not valid')
        status, _, _ = await self.system.ask('one', '/search/x', 'r1')
        self.assertEqual(200, status)

    async def _logged(self, daemon: str, text: str) -> None:
        for _ in range(400):
            if text in self.system.log(daemon):
                return
            await asyncio.sleep(0.05)
        self.fail(f'never logged {text}: {self.system.log(daemon)[-2000:]}')

    async def test_the_log_leads_from_a_request_to_its_cause(self) -> None:
        """Every line is JSON, and a failed request has all of its events."""
        await self.system.start_daemon('one')
        for number in range(2):
            self.system.targets[f'desk-{number}'].lose_answers = True
        await self.system.ask('one', '/pay/x', 'p1', 'POST')
        text = await self.system.log_with_end_of('one', 'p1')
        rows = [json.loads(row) for row in text.splitlines()]
        trail = [row for row in rows if row.get('request') == 'p1']
        self.assertEqual(
            ['sent', 'failed', 'request ended'],
            [row['event'] for row in trail],
        )
        self.assertEqual('broken', trail[1]['status'])
        self.assertEqual('unknown', trail[2]['outcome'])
