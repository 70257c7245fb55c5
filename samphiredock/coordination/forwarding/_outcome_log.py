"""Writes log lines and metrics at the end of forwarded requests."""

from samphiredock.coordination.forwarding import _pending_requests
from samphiredock.coordination.forwarding import _request_log
from samphiredock.coordination.search import _scatter_types
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

_MAX_SHARDS_LOGGED = 8


class OutcomeLog:
    """Logs and counts the outcomes of requests.

    Parameters
    ----------
    clock, counters
        The timers and metrics of this daemon.
    """

    def __init__(
        self, clock: timers.Timers, counters: metrics.Metrics
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._log = _request_log.RequestLog(clock, counters)

    def close(self) -> None:
        """Write the log lines that are still queued."""
        self._log.write()

    def log_refused(
        self,
        request: protocol.ForwardRequest,
        refusal: protocol.NotRun,
        started_ms: float,
    ) -> protocol.NotRun:
        """Log a request that was refused before anything was sent."""
        self._metrics.add('requests_refused', reason=refusal.reason.value)
        self._log.end(
            request.request_id,
            _request_log.RequestTrace(started_ms),
            False,
            outcome='refused',
            reason=refusal.reason.value,
            why=refusal.detail,
            retry_after_ms=refusal.retry_after_ms,
        )
        return refusal

    def log_ended(
        self,
        pending: _pending_requests.PendingRequest,
        outcome: protocol.ForwardOutcome | None,
    ) -> None:
        """Log a request's end; ``outcome`` is None if its caller has left."""
        plan = pending.plan
        name = type(outcome).__name__.lower() if outcome else 'caller left'
        took_ms = self._clock.now_ms() - pending.trace.started_ms
        labels = {'service': plan.route.name, 'request_class': name}
        self._metrics.observe('request_latency_ms', took_ms, **labels)
        tally = pending.scatter.tally
        for counter in _scatter_types.COUNTER_NAMES:
            amount = getattr(tally, counter)
            if amount:
                self._metrics.add_bulk(counter, amount, route=plan.route.name)
        missing = getattr(outcome, 'missing', 0)
        status = getattr(getattr(outcome, 'reply', None), 'status', 200)
        served = isinstance(outcome, protocol.Gathered | protocol.Passed)
        in_time = took_ms <= plan.route.aim_ms
        self._log.end(
            plan.request.request_id,
            pending.trace,
            served and in_time and not missing and status < 300,
            outcome=name,
            status=status if served else None,
            route=plan.route.name,
            version=plan.scatter.snapshot.snapshot_id,
            deadline_ms=plan.request.deadline_ms,
            aim_ms=plan.route.aim_ms,
            shards=len(plan.services),
            missing=missing,
            unanswered=pending.unanswered()[:_MAX_SHARDS_LOGGED],
            hedges=tally.hedges_sent,
            hedges_denied=tally.hedges_denied,
            retries=tally.retries,
            retries_denied=tally.retries_denied,
            why=getattr(outcome, 'detail', ''),
        )
