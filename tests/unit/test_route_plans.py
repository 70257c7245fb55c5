"""Tests of routes and of the plans of requests on them."""

import unittest

from samphiredock.coordination.forwarding import _route_plans
from samphiredock import protocol
from samphiredock import state


def request(deadline_ms: float | None = 600.0) -> protocol.ForwardRequest:
    """Return a caller's request."""
    return protocol.ForwardRequest(
        'id', 'GET', 'h', '/a/b', (), b'', deadline_ms
    )


def gather_route(shards: int = 20, least: float = 0.89) -> state.Route:
    """Return a route that asks many shards."""
    return state.Route(
        'r',
        'h',
        '/a/',
        True,
        600.0,
        100.0,
        2,
        shards=tuple(f's{number}' for number in range(shards)),
        top=5,
        least_share=least,
    )


class PlanTest(unittest.TestCase):
    """What is fixed when a request arrives."""

    def _plan(
        self, route: state.Route, deadline_ms: float | None = 600.0
    ) -> _route_plans.ForwardPlan:
        targets = {name: [f'{name}-1', f'{name}-2'] for name in route.shards}
        return _route_plans.make_forward_plan(
            request(deadline_ms), route, 7, route.shards, targets, 'q',
            'here', 1_000.0, 9.0, 30.0,
        )  # fmt: skip

    def test_least_shards_are_rounded_up(self) -> None:
        """Fewer would be below the least share; one is always needed."""
        for share, count, expected in (
            (0.89, 20, 18),
            (0.85, 20, 17),
            (0.75, 20, 15),
            (0.95, 90, 86),
            (0.0, 20, 1),
            (1.0, 3, 3),
        ):
            with self.subTest(share=share, count=count):
                route = gather_route(count, share)
                self.assertEqual(expected, _route_plans.least_shards(route))

    def test_shards_cover_the_key_space(self) -> None:
        """Coverage is then the share of the shards that answered."""
        for count in (1, 3, 20, 55, 90):
            index = self._plan(gather_route(count)).scatter.snapshot
            self.assertEqual(
                [], state.check_snapshot(index, _Everything()), count
            )

    def test_shorter_of_timeout_and_deadline_applies(self) -> None:
        """The route's timeout limits a caller that would wait longer."""
        for deadline_ms, ends_ms in (
            (None, 1_600.0), (5_000.0, 1_600.0), (200.0, 1_200.0),
        ):  # fmt: skip
            plan = self._plan(gather_route(), deadline_ms)
            self.assertEqual(ends_ms, plan.scatter.deadline_at_ms)

    def test_an_answer_is_due_before_the_aim(self) -> None:
        """The way back to the caller is part of the aim."""
        plan = self._plan(gather_route())
        self.assertLess(plan.scatter.answer_by_ms, 1_091.0 + 0.001)


class _Everything:
    def __contains__(self, name: object) -> bool:
        return True


class MergeTest(unittest.TestCase):
    """Merging the greatest records of all parts."""

    def test_greatest_first_and_equal_records_are_kept(self) -> None:
        """Records are compared as bytes."""
        low, high = b'a' * 16, b'b' * 16
        merged = _route_plans.merge_parts([low + high, high], 2)
        self.assertEqual(high + high, merged)

    def test_trailing_bytes_are_ignored(self) -> None:
        """A part may end in fewer bytes than a record has."""
        self.assertEqual(b'', _route_plans.merge_parts([b'z' * 15], 5))
        part = b'a' * 16 + b'z' * 15
        self.assertEqual(b'a' * 16, _route_plans.merge_parts([part], 5))


class MatchTest(unittest.TestCase):
    """Which route a request matches."""

    def test_longest_matching_prefix_wins(self) -> None:
        """Query strings and ports are ignored."""
        routes = tuple(
            state.Route(
                name, host, prefix, True, 1.0, 1.0, 1,
                services=(state.WeightedService('s', 1.0),),
            )
            for name, host, prefix in (
                ('short', 'h.example', '/a/'),
                ('long', 'h.example', '/a/b/'),
                ('other', 'x.example', '/a/b/c/'),
            )
        )  # fmt: skip
        table = state.RoutingTable(1, routes, {}, state.CallerLimits())
        for host, path, expected in (
            ('h.example', '/a/b/c/d', 'long'),
            ('H.example:80', '/a/x?y=/a/b/', 'short'),
            ('h.example', '/a', None),
            ('y.example', '/a/b/', None),
        ):
            with self.subTest(host=host, path=path):
                route = table.match(host, path)
                self.assertEqual(expected, route and route.name)
