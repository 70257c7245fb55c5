"""The membership protocol of one daemon, message by message."""

import random
import unittest

import msgspec

from samphiredock.coordination.fleet import _gossip
from samphiredock.coordination.fleet import _gossip_state
from samphiredock.coordination.fleet import _member_table
from samphiredock import protocol
from samphiredock import state

HELD = protocol.HeldVersions(1, 1)
STATES = protocol.MemberState


def row(name: str, incarnation: int = 1) -> protocol.MemberRow:
    """Return a live member's row."""
    member = state.Member(name, 's', 'r', f'tcp://{name}', '', '', incarnation)
    return _member_table.row_of(member)


def changed(base: protocol.MemberRow, **fields) -> protocol.MemberRow:
    """Return a row with other fields."""
    return msgspec.structs.replace(base, **fields)


class GossipTest(unittest.TestCase):
    """Three members: a (this daemon), b and c."""

    def setUp(self) -> None:
        """Add b and c to the table of a."""
        self.gossip = _gossip.Gossip(
            row('a'),
            random.Random(1),
            lambda: HELD,
            lambda: True,
            lambda: False,
            0.0,
        )
        self.push(row('b'), row('c'))

    def push(self, *rows: protocol.MemberRow) -> list:
        """Deliver rows as another member's table exchange."""
        return self.gossip.on_message('b', protocol.StatePush(list(rows)), 0.0)

    def tick_to(self, start_ms: int, end_ms: int) -> list:
        """Tick every ``TICK_MS``; return the effects."""
        effects = []
        step_ms = int(_gossip.TICK_MS)
        for now_ms in range(start_ms, end_ms, step_ms):
            effects += self.gossip.tick(float(now_ms))
        return effects

    def live(self) -> set[str]:
        """Return the names of the live members."""
        return set(self.gossip.table.names())

    def test_silent_member_is_suspected_then_dead(self) -> None:
        """A member that does not answer is suspected before it is lost."""
        self.tick_to(0, 1_200)
        held = {r.name: r.state for r in self.gossip.table.rows()}
        self.assertEqual({'a', 'b', 'c'}, self.live())
        self.assertIn(STATES.SUSPECT, held.values())
        self.tick_to(1_200, 5_000)
        self.assertEqual({'a'}, self.live())

    def test_late_tick_suspects_nobody(self) -> None:
        """A late tick must not count as silence of the other members."""
        self.tick_to(0, 200)
        for late_ms in (1_300.0, 60_000.0):
            with self.subTest(late_ms=late_ms):
                effects = self.gossip.tick(200.0 + late_ms)
                kinds = {type(getattr(e, 'message', e)) for e in effects}
                self.assertNotIn(protocol.ProbeAsk, kinds)
                states = {r.state for r in self.gossip.table.rows()}
                self.assertEqual({STATES.ALIVE}, states)
        self.assertFalse(self.gossip.is_current(60_200.0))

    def test_not_current_while_behind_versions_of_peers(self) -> None:
        """All peers have answered, but a newer version has not arrived."""
        self.gossip._is_behind = lambda: True
        self.gossip.tick(5_000.0)
        answer = protocol.StateAnswer(1, [], [], HELD, True)
        for name in ('b', 'c'):
            self.gossip.on_message(name, answer, 5_010.0)
        self.gossip.tick(5_100.0)
        self.assertFalse(self.gossip.is_current(5_100.0))
        self.gossip._is_behind = lambda: False
        self.gossip.tick(5_200.0)
        self.assertTrue(self.gossip.is_current(5_200.0))

    def test_freeze_is_seen_by_the_first_message_too(self) -> None:
        """After a freeze, messages may be read before timers run."""
        self.tick_to(0, 200)
        probe = protocol.Probe(1, HELD)
        self.gossip.on_message('b', probe, 30_000.0)
        self.assertFalse(self.gossip.is_current(30_000.0))
        self.assertEqual(1, self.gossip.me.refutation)

    def test_reports_of_itself_are_refuted(self) -> None:
        """This daemon publishes a row that wins against each report."""
        for report in (
            changed(row('a'), state=STATES.SUSPECT),
            changed(row('a'), state=STATES.DEAD, refutation=7),
            row('a', incarnation=50),
            changed(row('a', 60), state=STATES.LEFT),
        ):
            with self.subTest(report=report):
                self.push(report)
                mine = self.gossip.me
                self.assertGreater(
                    _member_table.order_of(mine),
                    _member_table.order_of(report),
                )
                self.assertEqual(STATES.ALIVE, mine.state)

    def test_dead_member_gets_the_report_of_its_death(self) -> None:
        """The answer contains the report, so that the member can refute it."""
        dead = changed(row('b'), state=STATES.DEAD)
        probe = protocol.Probe(1, HELD, [dead])
        self.gossip.on_message('c', probe, 0.0)
        self.gossip._reports.piggyback.clear()
        answer = self.gossip.on_message('b', protocol.Probe(2, HELD), 0.0)
        self.assertIn(dead, answer[-1].message.rows)

    def test_old_report_of_itself_is_answered(self) -> None:
        """The prober's report is older than this daemon's refutation."""
        self.gossip._reports.piggyback.clear()
        dead = changed(row('a'), state=STATES.DEAD)
        for _ in range(2):
            self.gossip._reports.piggyback.clear()
            probe = protocol.Probe(1, HELD, [dead])
            answer = self.gossip.on_message('b', probe, 0.0)
            self.assertIn(self.gossip.me, answer[-1].message.rows)

    def test_left_is_final_for_one_start(self) -> None:
        """No late report makes a member live again that has left."""
        self.push(changed(row('b'), state=STATES.LEFT))
        self.push(changed(row('b'), refutation=9))
        self.assertEqual({'a', 'c'}, self.live())
        self.push(row('b', incarnation=2))
        self.assertEqual({'a', 'b', 'c'}, self.live())

    def test_left_member_is_not_learned_from_older_reports(self) -> None:
        """A new daemon gets the report that a member left, then an older one.

        Accepting the older one, it would send requests to a dead daemon.
        """
        self.push(changed(row('d'), state=STATES.LEFT))
        self.push(row('d'))
        self.assertNotIn('d', self.live())
        self.push(row('d', incarnation=2))
        self.assertIn('d', self.live())

    def test_leaving_daemon_sends_its_row_to_each_prober(self) -> None:
        """A prober that missed the broadcast learns that the daemon left."""
        self.gossip.leave()
        for number in range(30):
            probe = protocol.Probe(number, HELD, [])
            (answer,) = [
                effect.message
                for effect in self.gossip.on_message('b', probe, 0.0)
                if isinstance(effect, _gossip_state.SendTo)
            ]
            states = [each.state for each in answer.rows if each.name == 'a']
            self.assertEqual([STATES.LEFT], states)

    def test_lost_member_gets_the_row_of_its_prober(self) -> None:
        """A restarted daemon without the store lacks the prober's address.

        Without it, the daemon could not answer and would never be ready.
        """
        self.push(changed(row('b'), state=STATES.LEFT))
        self.tick_to(100, 4_000)  # Until the row is not piggybacked any more.
        probes = [
            effect.message
            for effect in self.tick_to(4_000, 12_000)
            if isinstance(effect, _gossip_state.SendTo)
            and effect.member == 'b'
            and isinstance(effect.message, protocol.Probe)
        ]
        self.assertGreater(len(probes), 1)
        for probe in probes:
            self.assertIn('a', [each.name for each in probe.rows])

    def test_lost_members_are_forgotten_in_the_end(self) -> None:
        """Otherwise the list of lost members would grow without bound."""
        self.push(changed(row('b'), state=STATES.LEFT))
        self.gossip._reports.lost_since['b'] = -_gossip._LOST_RETENTION_MS
        effects = self.tick_to(0, 2_200)
        self.assertIn(_gossip_state.MemberForgotten('b'), effects)
        self.assertIsNone(self.gossip.table.get('b'))
        self.push(changed(row('b'), state=STATES.LEFT))
        self.assertIsNone(self.gossip.table.get('b'))

    def test_live_is_cached_and_digests_follow(self) -> None:
        """The tuple and the version change only with the live members."""
        table = self.gossip.table
        live, version, digests = table.live(), table.version, table.digests()
        self.push(changed(row('b'), refutation=1))
        self.assertIs(live, table.live())
        self.assertEqual(version, table.version)
        self.assertEqual(
            [_member_table.bucket_of('b')], table.differing(digests)
        )
        self.push(changed(row('b'), state=STATES.LEFT))
        self.assertEqual(2, len(table.live()))
        self.assertGreater(table.version, version)
