"""Which contents are refused when targets are lost, and which are served."""

import itertools
import unittest
from unittest import mock

import logbook

from samphiredock.coordination import forwarding
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers
from samphiredock import transport
from standins import memory_links

RECORD = b'0123456789abcdef'

_GAP_MS = 400.0
"""Time between two tries of a caller."""


def request(path: str) -> protocol.ForwardRequest:
    """Return a caller's request."""
    return protocol.ForwardRequest('id', 'GET', 'h', path, (), b'', 500.0)


class _Fleet:
    """Daemons that tell each other of targets lost, in virtual time."""

    def __init__(self, test: unittest.TestCase, daemons: int = 3) -> None:
        self.clock = timers.ManualTimers()
        counters = metrics.Metrics('test')
        test.addCleanup(counters.close)
        self.notices: list[tuple[int, forwarding.Loss]] = []
        self.guards = [
            forwarding.CrashGuard(
                self.clock,
                counters,
                lambda loss, number=number: self.notices.append(
                    (number, loss)
                ),
                f'daemon-{number}',
            )
            for number in range(daemons)
        ]
        self._numbers = itertools.count()

    def succeed(self, path: str, count: int, daemon: int = 0) -> None:
        """Let requests end well at a daemon."""
        for _ in range(count):
            self.guards[daemon].record_success(request(path), 'route')

    def lose(
        self,
        path: str,
        *targets: str,
        daemon: int = 0,
        deliver: bool = True,
        started_at_ms: int = 0,
    ) -> None:
        """Let one request lose targets at a daemon."""
        content = forwarding.fingerprint_of(request(path))
        request_id = f'r{next(self._numbers)}'
        start = {'started_at_ms': started_at_ms} if started_at_ms else {}
        for target in targets:
            loss = forwarding.Loss(content, request_id, target, **start)
            self.guards[daemon].report_loss(loss)
        if deliver:
            self.deliver()

    def restart(self, daemon: int) -> None:
        """Restart a daemon, which then knows of no loss."""
        old = self.guards[daemon]
        self.guards[daemon] = forwarding.CrashGuard(
            self.clock, old._metrics, old._broadcast, old._name
        )

    def deliver(self) -> None:
        """Deliver the notices sent so far to all other daemons."""
        notices, self.notices = self.notices, []
        for sender, loss in notices:
            for number, guard in enumerate(self.guards):
                if number != sender:
                    guard.record_loss(loss)

    def advance(self, span_ms: float) -> None:
        """Let time pass."""
        self.clock.advance(span_ms)

    def refusing(self, path: str) -> int:
        """Return how many daemons refuse a content."""
        refusals = [guard.refusal(request(path)) for guard in self.guards]
        return len([row for row in refusals if row is not None])

    def bad_requests_until_refused(
        self, path: str, targets_each: int = 1, good_between: int = 0
    ) -> int:
        """Send a content that crashes targets until all daemons refuse it."""
        for number in range(1, 30):
            self.succeed(path, good_between)
            targets = [f'{path}{number}-{at}' for at in range(targets_each)]
            self.lose(path, *targets, daemon=number % len(self.guards))
            if self.refusing(path) == len(self.guards):
                return number
            self.advance(_GAP_MS)
        return 30


class HarmlessContentTest(unittest.TestCase):
    """Contents that run at targets which die for another reason."""

    def setUp(self) -> None:
        """Create three daemons."""
        self.fleet = _Fleet(self)

    def test_common_content_is_not_refused_for_unrelated_losses(self) -> None:
        """All callers of a common content were refused for a minute.

        It runs at each target that is lost, twice in 30 s.
        """
        self.fleet.succeed('/common', 600)
        self.fleet.lose('/common', 't1')
        self.fleet.advance(30_000.0)
        self.fleet.succeed('/common', 600)
        self.fleet.lose('/common', 't2', daemon=1)
        self.assertEqual(0, self.fleet.refusing('/common'))

    def test_further_losses_do_not_add_up(self) -> None:
        """One content makes up half of the requests of a busy minute."""
        for number in range(24):
            self.fleet.succeed('/common', 30)
            for other in range(30):
                self.fleet.succeed(f'/other-{other}', 1)
            target = f't{number}'
            self.fleet.lose('/common', target)
            self.fleet.lose(f'/other-{number}', target, daemon=1)
            self.fleet.advance(2_500.0)
            self.assertEqual(0, self.fleet.refusing('/common'))
            self.assertEqual(0, self.fleet.refusing(f'/other-{number}'))

    def test_only_content_of_a_small_system_is_not_refused(self) -> None:
        """All requests have one content, and few end well between losses.

        The soak lost all service this way at a daemon that had just started.
        """
        for number in range(24):
            self.fleet.succeed('/only', 15)
            self.fleet.lose('/only', f't{number}')
            self.fleet.advance(1_500.0)
            self.assertEqual(0, self.fleet.refusing('/only'))

    def test_all_targets_of_a_service_die_one_after_the_other(self) -> None:
        """Its contents were refused long after the targets were back."""
        self.fleet.succeed('/desk', 200)
        self.fleet.succeed('/rare', 1)
        for number in range(3):
            self.fleet.lose('/desk', f'desk-{number}')
            self.fleet.advance(700.0)
        self.assertEqual(0, self.fleet.refusing('/desk'))

    def test_late_notices_of_one_loss_are_one_loss(self) -> None:
        """Daemons find a lost host at different times, in other requests.

        490 daemons ran the content at the two targets of a host that died;
        their notices come within a second.
        """
        content = forwarding.fingerprint_of(request('/rare'))
        for number in range(490):
            for target in ('t1', 't2'):
                loss = forwarding.Loss(
                    content, f'r{number}', target, f'daemon-{number}'
                )
                for guard in self.fleet.guards:
                    guard.record_loss(loss)
            self.fleet.advance(2.0)
        self.assertEqual(0, self.fleet.refusing('/rare'))

    def test_rack_that_dies_over_seconds_refuses_nothing(self) -> None:
        """Callers whose retry met the same rack again were refused.

        Forty targets die within five seconds, each under two requests that
        then meet another dying one.  None of these contents was seen before.
        """
        for number in range(40):
            self.fleet.lose(f'/a{number}', f't{number}', daemon=number % 3)
            self.fleet.lose(f'/b{number}', f't{number}', daemon=number % 2)
            self.fleet.advance(125.0)
            if number >= 3:
                again = f't{number}'
                self.fleet.lose(f'/a{number - 3}', again, daemon=number % 2)
            for before in range(number + 1):
                self.assertEqual(0, self.fleet.refusing(f'/a{before}'))
                self.assertEqual(0, self.fleet.refusing(f'/b{before}'))

    def test_daemon_that_never_ran_it_knows_of_its_successes(self) -> None:
        """A daemon that has just started counts by the notices alone."""
        self.fleet.succeed('/common', 300, daemon=1)
        self.fleet.lose('/common', 't1', daemon=1)
        self.fleet.advance(5_000.0)
        self.fleet.lose('/common', 't2', daemon=1)
        self.assertEqual(0, self.fleet.refusing('/common'))

    def test_content_is_served_again_once_successes_are_known(self) -> None:
        """Two daemons that did not know it refused a common content."""
        self.fleet.lose('/common', 't1')
        self.fleet.advance(5_000.0)
        self.fleet.lose('/common', 't2')
        self.assertEqual(3, self.fleet.refusing('/common'))
        self.fleet.succeed('/common', 400, daemon=1)
        self.fleet.lose('/common', 't3', daemon=1)
        self.assertEqual(0, self.fleet.refusing('/common'))


class CountedRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Which requests the forwarder reports as ended well."""

    async def asyncSetUp(self) -> None:
        """Create a forwarder with a guard."""
        self.crashes = mock.Mock(refusal=lambda request: None)
        self.harness = memory_links.ForwarderHarness(crashes=self.crashes)
        self.task = self.harness.ask('/all/x')
        await memory_links.settle()

    async def test_answered_request_counts(self) -> None:
        """Otherwise nothing speaks for a common content."""
        for sent in self.harness.links.open:
            sent.answer(RECORD)
        await self.task
        (counted, route), _ = self.crashes.record_success.call_args
        self.assertEqual(('/all/x', 'all'), (counted.path, route))

    async def test_request_that_lost_a_target_does_not_count(self) -> None:
        """A content that crashes the targets of one shard would be cleared.

        The other shards and the lost one's second target answer.
        """
        lost, *others = self.harness.links.open
        self.harness.links.dead.add(lost.target)
        lost.lose(transport.LinkErrorKind.BROKEN)
        for sent in others:
            sent.answer(RECORD)
        await self.harness.advance(50.0)
        for sent in self.harness.links.open:
            sent.answer(RECORD)
        self.assertIsInstance(await self.task, protocol.Gathered)
        self.crashes.report_loss.assert_called_once()
        self.crashes.record_success.assert_not_called()


class CrashingContentTest(unittest.TestCase):
    """Contents that crash the targets that run them."""

    def setUp(self) -> None:
        """Create three daemons with some usual traffic."""
        self.fleet = self._busy_fleet()

    def _busy_fleet(self) -> _Fleet:
        fleet = _Fleet(self)
        for daemon in range(3):
            for number in range(100):
                fleet.succeed(f'/usual-{number}', 10, daemon)
        return fleet

    def test_second_request_is_the_last(self) -> None:
        """A search takes down a target of every shard at each try."""
        self.assertEqual(
            2, self.fleet.bad_requests_until_refused('/poison', 90)
        )
        self.assertEqual(0, self.fleet.refusing('/usual-1'))

    def test_second_request_is_the_last_beside_another_loss(self) -> None:
        """A target that dies of another cause does not hide the content."""
        self.fleet.lose('/usual-1', 'other')
        self.assertEqual(2, self.fleet.bad_requests_until_refused('/poison'))

    def test_all_daemons_of_a_large_system_refuse_it(self) -> None:
        """Its caller retries it at any of 490 daemons."""
        fleet = _Fleet(self, 490)
        self.assertEqual(2, fleet.bad_requests_until_refused('/poison', 9))

    def test_contents_lost_with_it_are_served(self) -> None:
        """Contents that ran at its targets are lost at each crash, too."""
        for number in range(2):
            targets = [f't{number}-{at}' for at in range(30)]
            self.fleet.lose('/poison', *targets)
            for at in range(30):
                self.fleet.lose(f'/usual-{at}', targets[at], daemon=1)
            self.fleet.advance(_GAP_MS)
        self.assertEqual(3, self.fleet.refusing('/poison'))
        for at in range(30):
            self.assertEqual(0, self.fleet.refusing(f'/usual-{at}'))

    def test_rare_content_lost_with_it_is_served(self) -> None:
        """A caller's retry met the crashing content a second time."""
        for number in range(2):
            targets = [f't{number}-{at}' for at in range(30)]
            self.fleet.lose('/poison', *targets)
            self.fleet.lose('/rare', targets[3], daemon=1)
            self.fleet.advance(_GAP_MS)
        self.assertEqual(3, self.fleet.refusing('/poison'))
        self.assertEqual(0, self.fleet.refusing('/rare'))
        self.assertLessEqual(self.fleet.bad_requests_until_refused('/rare'), 3)

    def test_content_sent_without_a_pause_is_refused(self) -> None:
        """Losses that never pause counted as those of one request."""
        for number in range(20):
            self.fleet.lose('/poison', f't{number}', daemon=number % 3)
            self.fleet.advance(100.0)
        self.assertEqual(3, self.fleet.refusing('/poison'))

    def test_attacker_mixes_good_and_bad_requests(self) -> None:
        """Successes of the same content bought an attacker further crashes.

        The second bad request is the last, as without the good ones.
        """
        for good in (1, 4, 10):
            with self.subTest(good=good):
                fleet = self._busy_fleet()
                self.assertEqual(
                    2, fleet.bad_requests_until_refused('/mixed', 90, good)
                )

    def test_attacker_mixes_in_an_idle_system(self) -> None:
        """Nobody else's requests tell what is usual."""
        fleet = _Fleet(self)
        self.assertEqual(
            2, fleet.bad_requests_until_refused('/mixed', 90, good_between=1)
        )

    def test_attacker_prepares_with_good_requests(self) -> None:
        """A content that ended well a hundred times begins to crash."""
        self.fleet.succeed('/mixed', 100)
        self.assertLessEqual(
            self.fleet.bad_requests_until_refused('/mixed'), 3
        )

    def test_two_crashing_contents_do_not_hide_each_other(self) -> None:
        """Each looks like the other cause of the other one's losses."""
        for number in range(3):
            for path in ('/poison-1', '/poison-2'):
                targets = [f'{path}-{number}-{at}' for at in range(90)]
                self.fleet.lose(path, *targets, daemon=number)
                self.fleet.advance(_GAP_MS)
        for path in ('/poison-1', '/poison-2'):
            self.assertEqual(3, self.fleet.refusing(path))

    def test_content_is_refused_after_another_has_lost_its_targets(
        self,
    ) -> None:
        """Each later crashing content was served for ever.

        The targets of a service keep their ids when they start again, and a
        refused content had lost all of them.
        """
        targets = ('t1', 't2', 't3')
        for number in range(4):
            self.fleet.lose('/first', *targets[:2], daemon=number % 3)
            self.fleet.advance(1_000.0)
            self.fleet.lose('/first', targets[2], daemon=number % 3)
            self.fleet.advance(3_000.0)
        self.assertEqual(3, self.fleet.refusing('/first'))
        for path in ('/second', '/third'):
            for number in range(2):
                self.fleet.lose(path, *targets[number:][:2], daemon=number)
                self.fleet.advance(3_500.0)
            self.assertEqual(3, self.fleet.refusing(path))
        self.assertEqual(3, self.fleet.refusing('/first'))

    def test_crashing_contents_at_once_are_refused(self) -> None:
        """A content hid behind another one that is sent at the same time.

        Two or three contents crash the targets of one service, which are back
        under their ids after 1 to 10 s.  A daemon is restarted amid them.
        """
        for count, back_ms in itertools.product((2, 3), (1_000.0, 10_000.0)):
            with self.subTest(count=count, back_ms=back_ms):
                fleet = self._busy_fleet()
                paths = [f'/poison-{number}' for number in range(count)]
                for turn in range(8):
                    for number, path in enumerate(paths):
                        if fleet.refusing(path) == 3:
                            continue
                        pair = (f't{(turn + number) % 3}', f't{number}')
                        fleet.lose(
                            path,
                            *pair,
                            daemon=number,
                            started_at_ms=turn * 9 + number,
                        )
                        fleet.advance(back_ms)
                    if turn == 1:
                        fleet.restart(0)
                for path in paths:
                    self.assertGreaterEqual(fleet.refusing(path), 2)

    def test_what_runs_beside_a_refused_content_is_served(self) -> None:
        """Callers of a usual content were refused for another one's crashes.

        The losses of the refused content go on while daemons learn of it.
        """
        self.fleet.bad_requests_until_refused('/poison')
        for number in range(6):
            target = f't{number % 3}'
            self.fleet.lose(
                '/poison', target, daemon=2, started_at_ms=number + 1
            )
            self.fleet.advance(500.0)
            self.fleet.lose(
                '/rare', target, daemon=1, started_at_ms=number + 1
            )
            self.fleet.advance(4_000.0)
        self.assertEqual(0, self.fleet.refusing('/rare'))

    def test_content_is_refused_while_a_rack_dies(self) -> None:
        """An outage hid a content that crashes targets."""
        for number in range(20):
            self.fleet.lose(f'/usual-{number}', f't{number}', daemon=1)
            self.fleet.advance(100.0)
        self.assertLessEqual(
            self.fleet.bad_requests_until_refused('/poison'), 5
        )

    def test_losses_of_other_causes_do_not_clear_it(self) -> None:
        """An outage must not let a refused content run again."""
        self.fleet.bad_requests_until_refused('/poison')
        for number in range(20):
            self.fleet.lose(f'/usual-{number}', f't{number}', daemon=1)
        self.fleet.lose('/poison', 'late', daemon=2)
        self.assertEqual(3, self.fleet.refusing('/poison'))

    def test_refusal_says_when_to_come_back(self) -> None:
        """The content may be sent again when the losses are forgotten."""
        self.fleet.bad_requests_until_refused('/poison')
        self.fleet.advance(20_000.0)
        refusal = self.fleet.guards[0].refusal(request('/poison'))
        self.assertEqual(40_000, refusal.retry_after_ms)
        self.fleet.advance(40_001.0)
        self.assertEqual(0, self.fleet.refusing('/poison'))
        self.assertEqual(2, self.fleet.bad_requests_until_refused('/poison'))

    def test_log_says_what_was_lost_when(self) -> None:
        """A refusal could not be told from its log line alone."""
        with logbook.TestHandler() as log:
            self.fleet.bad_requests_until_refused('/poison')
        events = [row.message for row in log.records]
        self.assertIn('target lost while it ran a content', events)
        refused = next(row for row in log.records if 'refused' in row.message)
        self.assertEqual(
            [
                {'ago_ms': 400, 'request': 'r0', 'target': '/poison1-0'},
                {'ago_ms': 0, 'request': 'r1', 'target': '/poison2-0'},
            ],
            refused.kwargs['losses'],
        )
        self.assertEqual(0, refused.kwargs['succeeded'])
