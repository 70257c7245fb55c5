"""Builders of the dispatcher's inputs, for tests."""

import asyncio
import typing

from samphiredock.coordination.targets import _scheduler_types
from samphiredock.coordination.targets import _shares
from samphiredock import protocol
from samphiredock import state


def target(name: str = 't1', slots: int = 2, site: str = 'a') -> state.Target:
    """Return a target of the configuration."""
    return state.Target(name, site, f'http://{name}', slots, 25, 6)


def configuration(
    *targets: state.Target, revision: int = 1, **limits: typing.Any
) -> state.Configuration:
    """Return a configuration of sites a and b and one service."""
    sites = {
        name: state.Site(name, 'r', share, 1.0, {})
        for name, share in (('a', 0.75), ('b', 0.25))
    }
    search = state.Search(
        's', 'i', 400, 0.5, 'interactive', False, state.MergeKind.BY_KEY, 10
    )
    service = state.Service('svc', {'s': search}, {}, 1.0, 100)
    return state.Configuration(
        revision,
        {'svc': service},
        sites,
        ('i',),
        {row.name: row for row in targets},
        state.Limits(**limits),
    )


def item(
    attempt_id: str, name: str = 't1', hedge: bool = False
) -> protocol.SubQuery:
    """Return one sub-query."""
    return protocol.SubQuery(attempt_id, 'i', 1, 1, 'shard', name, hedge)


def batch(
    *items: protocol.SubQuery,
    budget_ms: float = 400.0,
    alone: bool = False,
    site: str = 'a',
    fingerprint: str = 'f',
) -> protocol.SubQueryBatch:
    """Return a message with sub-queries of one query, made of ``items``."""
    return protocol.SubQueryBatch(
        'q',
        'svc',
        site,
        'interactive',
        's',
        {},
        10,
        fingerprint,
        budget_ms,
        list(items),
        alone,
    )


def order(attempt_id: str, budget_ms: float = 400.0) -> protocol.RunOrder:
    """Return an unrepeatable request for t1."""
    return protocol.RunOrder(
        attempt_id,
        'svc',
        'a',
        'interactive',
        'pay',
        't1',
        'key',
        {},
        'f',
        budget_ms,
    )


def job(
    attempt_id: str,
    expires_at_ms: float = 1_000.0,
    hedge: bool = False,
    **fields: typing.Any,
) -> _scheduler_types.Job:
    """Return a scheduler's job with one sub-query."""
    sub_query = item(attempt_id, hedge=hedge)
    request = batch(sub_query, **fields)
    flow = _shares.Flow('svc', request.site)
    return _scheduler_types.Job(
        'd', 'q', attempt_id, expires_at_ms, request, sub_query, flow
    )


def sent(effects: typing.Iterable[_scheduler_types.Effect]) -> list[list[str]]:
    """Return the attempt ids of each exchange that was started."""
    return [
        [row.attempt_id for row in effect.jobs]
        for effect in effects
        if isinstance(effect, _scheduler_types.StartExchange)
    ]


def refused(
    effects: typing.Iterable[_scheduler_types.Effect],
) -> dict[str, str]:
    """Return the status of each refused attempt by its id."""
    return {
        effect.job.attempt_id: effect.status.value
        for effect in effects
        if isinstance(effect, _scheduler_types.Refuse)
    }


async def settle() -> None:
    """Let the tasks of the event loop run."""
    for _ in range(20):
        await asyncio.sleep(0)
