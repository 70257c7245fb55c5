"""The settings of an entry daemon, read from a JSON5 file.

An entry daemon accepts HTTP requests of callers and passes them on to targets
unchanged; the platform's adapter runs it.
"""

import dataclasses
import pathlib

from returns import result

from samphiredock import logs
from samphiredock.state import _checks
from samphiredock.state import _json5

_DURATION_LIMIT_S = 3_600


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """What an entry daemon needs at its start.

    Addresses are ``IP:port``:

    - ``caller_address``: where callers send requests;
    - ``ready_address``: where load balancers ask whether it is ready;
    - ``peer_address``: for the other daemons;
    - ``platform_address``: of the platform's object store;
    - ``metrics_address``: where metrics are read, None for nowhere.

    Capacity:

    - ``cores``: speed of the host in units of one reference core;
    - ``core_share``: fraction of the time for which that speed is available;
    - ``coordinators_per_site``: how many daemons of a site send requests to
      targets; the others hand requests over to these.

    Budget of extra requests, which are retries and hedges, of all daemons
    together for each service:

    - ``retry_ratio``: extra requests allowed for each first attempt;
    - ``retry_slack``: extra requests allowed beyond that in any window;
    - ``retry_window_s``: length of the windows;
    - ``first_start``: whether the whole system starts for the first time, so
      that nothing was sent before.

    Times:

    - ``stop_limit_s``: time after which a stopping process is killed;
    - ``balancer_lag_ms``: how long load balancers keep sending requests
      after the daemon has reported that it is not ready;
    - ``watch_ms``: how long a watch request to the store waits for a change,
      which bounds how long a store that stops responding goes unnoticed;
    - ``collect_ms``: how long the daemon waits after a change of targets
      before the next watch, so that one response returns further changes;
    - ``caller_way_ms``: network round trip from the caller, subtracted from
      a route's ``aim_ms``; it excludes connecting, whose time is estimated
      from the remaining time that callers state.

    Choice of targets:

    - ``hedge_quantile``: quantile of a route's sub-query latencies after
      which a hedge is sent;
    - ``other_site_factor``: when a target is chosen, the expected wait at one
      of another site counts as longer by this factor.
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
    first_start: bool = False
    stop_limit_s: float = 6.0
    balancer_lag_ms: int = 2_500
    watch_ms: int = 2_500
    collect_ms: int = 400
    caller_way_ms: float = 7.0
    hedge_quantile: float = 0.85
    other_site_factor: float = 3.0


_SETTINGS_RULES = _checks.rules_for(
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
        'first_start': _checks.boolean(),
        'retry_window_s': _checks.number(0.1, _DURATION_LIMIT_S, 's'),
        'stop_limit_s': _checks.number(0.5, _DURATION_LIMIT_S, 's'),
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
    """Return the settings in a file, or all problems."""
    read = _json5.read_json5(path)
    if isinstance(read, result.Failure):
        return result.Failure((read.failure(),))
    report = _checks.ProblemReport(str(path))
    row = report.read_object('$', read.unwrap(), _SETTINGS_RULES)
    if report.problems or row is None:
        return result.Failure(tuple(report.problems))
    return result.Success(EntrySettings(**row))
