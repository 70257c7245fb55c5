"""Settings of a daemon that passes requests on.

Read from a file of JSON with comments, like those of the other daemons.
"""

import dataclasses
import pathlib

from returns import result

from samphiredock import logs
from samphiredock.state import _checks
from samphiredock.state import _json5

_LONGEST_S = 3_600


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """What such a daemon must know before it can ask anybody.

    Addresses are ``IP:port``.  ``retry_ratio``, ``retry_slack`` and
    ``retry_window_s`` are the budget of all daemons together: repeated
    requests to a service for each first one, and beyond, in any window of
    that length.  ``stop_limit_s`` is when a stopping process is killed.
    ``peer_address`` is for the other daemons.  The host does ``cores``
    times the work of a plain core, for ``core_share`` of the time;
    ``coordinators_per_site`` of them ask the
    targets, the others hand requests over to those.
    ``balancer_lag_ms`` is how long requests still come after readiness went
    off; ``watch_ms`` how long a watch at the store waits for a change, and
    so how long a store that fell silent goes unnoticed at most;
    ``collect_ms`` how long changes may gather after one before the next
    watch.
    ``caller_way_ms`` is what the way from the caller and back takes of a
    route's aim; connecting is read off the time that callers state.
    ``hedge_quantile`` is the quantile of the
    latency of a route's sub-queries after which one is hedged;
    ``other_site_factor`` how much longer the wait at a target of the same
    site may look before another site's is taken.
    """

    name: str
    site: str
    caller_address: str
    ready_address: str
    platform_address: str
    peer_address: str
    cores: float = 1.0
    core_share: float = 1.0
    coordinators_per_site: int = 3
    metrics_address: str | None = None
    log_level: str = 'info'
    retry_ratio: float = 0.05
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    stop_limit_s: float = 6.0
    balancer_lag_ms: int = 2_500
    watch_ms: int = 2_500
    collect_ms: int = 400
    caller_way_ms: float = 7.0
    hedge_quantile: float = 0.85
    other_site_factor: float = 3.0


_SETTINGS = _checks.rules_for(
    EntrySettings,
    {
        'name': _checks.name(),
        'site': _checks.name(),
        'caller_address': _checks.address(),
        'ready_address': _checks.address(),
        'platform_address': _checks.address(),
        'peer_address': _checks.address(),
        'cores': _checks.positive_number(10_000.0),
        'core_share': _checks.positive_number(1.0),
        'coordinators_per_site': _checks.integer(1, 10_000),
        'metrics_address': _checks.address(),
        'log_level': _checks.choice(logs.LEVELS),
        'retry_ratio': _checks.number(0.0, 10.0),
        'retry_slack': _checks.number(0.0, 1e6),
        'retry_window_s': _checks.number(0.1, _LONGEST_S, 's'),
        'stop_limit_s': _checks.number(0.5, _LONGEST_S, 's'),
        'balancer_lag_ms': _checks.integer(0, 600_000, 'ms'),
        'watch_ms': _checks.integer(100, 30_000, 'ms'),
        'collect_ms': _checks.integer(0, 10_000, 'ms'),
        'caller_way_ms': _checks.number(0.0, 1_000.0, 'ms'),
        'hedge_quantile': _checks.number(0.5, 1.0),
        'other_site_factor': _checks.number(1.0, 100.0),
    },
)


def load_entry_settings(
    path: pathlib.Path,
) -> result.Result[EntrySettings, tuple[_checks.Problem, ...]]:
    """Read and check a settings file; every mistake is reported."""
    read = _json5.read_json5(path)
    if isinstance(read, result.Failure):
        return result.Failure((read.failure(),))
    report = _checks.ProblemReport(str(path))
    row = report.read_object('$', read.unwrap(), _SETTINGS)
    if report.problems or row is None:
        return result.Failure(tuple(report.problems))
    return result.Success(EntrySettings(**row))
