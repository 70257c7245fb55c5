"""Admission control: the number of requests in flight is bounded.

Requests beyond the limits are refused at once, none is queued.
"""

import collections

from samphiredock import protocol
from samphiredock import state
from samphiredock import timers

# The share of the daemon's limit that a request class may fill: the rest is
# reserved for interactive requests.
_CLASS_SHARE = {'interactive': 1.0, 'batch': 0.8}

_RATE_WINDOW = 200  # ended requests from which the drain rate is computed
_DRAIN_SHARE = 0.1
_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 5_000

# One in this many requests with too short a deadline is admitted: refused
# requests measure no latency, so the estimate would never fall again.
_PROBE_EVERY = 20


class Admission:
    """Counts the requests in flight at this daemon, in all and by service."""

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._total = 0
        self._ended_ms: collections.deque[float] = collections.deque(
            maxlen=_RATE_WINDOW
        )
        self._short_deadlines = 0

    def in_flight(self) -> int:
        """Return how many admitted requests have no outcome yet."""
        return self._total

    def admit(
        self,
        service: state.Service,
        limits: state.Limits,
        request_class: str,
        deadline_ms: float,
        fastest_ms: float = 0.0,
    ) -> protocol.NotRun | None:
        """Admit a request, or return why it is refused.

        Parameters
        ----------
        deadline_ms
            The time that the caller allows.
        fastest_ms
            A low quantile of the latency that a request like this one has
            here, 0 if not known; hardly any would meet a shorter deadline.

        Returns
        -------
        None if admitted; :meth:`release` must follow when the request ends.
        """
        if deadline_ms < fastest_ms and not self._is_probe():
            return protocol.NotRun(
                protocol.NotRunReason.DEADLINE_TOO_SHORT,
                f'got deadline_ms {deadline_ms:.0f}, expected at least '
                f'{fastest_ms:.0f}, the latency of the fastest answers',
                self._retry_after_ms(limits.in_flight_per_daemon),
            )
        share = _CLASS_SHARE.get(request_class, 1.0)
        limit = int(limits.in_flight_per_daemon * share)
        if self._total >= limit:
            return protocol.NotRun(
                protocol.NotRunReason.OVERLOADED,
                f'got {self._total} requests in flight, '
                f'expected fewer than {limit} for class {request_class}',
                self._retry_after_ms(limit),
            )
        in_flight = self._in_flight[service.name]
        if in_flight >= service.max_in_flight:
            return protocol.NotRun(
                protocol.NotRunReason.SHARE_EXCEEDED,
                f'got {in_flight} requests of {service.name} in flight, '
                f'expected fewer than {service.max_in_flight}',
                self._retry_after_ms(service.max_in_flight),
            )
        self._acquire(service.name)
        return None

    def admit_run(
        self,
        request: protocol.RunRequest,
        configuration: state.Configuration,
    ) -> protocol.NotRun | None:
        """Admit an unrepeatable request, or return why it is refused.

        A request of an unknown service or operation is admitted and
        counted; :class:`Runner` refuses it with the exact reason.
        """
        service = configuration.services.get(request.service)
        operation = service and service.operations.get(request.operation)
        if service is None or operation is None:
            self._acquire(request.service)
            return None
        return self.admit(
            service,
            configuration.limits,
            operation.request_class,
            request.deadline_ms or operation.deadline_ms,
        )

    def release(self, service: str) -> None:
        """Stop counting an admitted request, which now has its outcome."""
        self._in_flight[service] -= 1
        if not self._in_flight[service]:
            del self._in_flight[service]
        self._total -= 1
        self._ended_ms.append(self._clock.now_ms())

    def _acquire(self, service: str) -> None:
        self._in_flight[service] += 1
        self._total += 1

    def _is_probe(self) -> bool:
        self._short_deadlines += 1
        return self._short_deadlines % _PROBE_EVERY == 0

    def _retry_after_ms(self, limit: int) -> int:
        """Return in how many ms a tenth of the limit will have drained."""
        if len(self._ended_ms) < 2:
            return _MIN_RETRY_MS
        span_ms = max(1.0, self._clock.now_ms() - self._ended_ms[0])
        per_ms = len(self._ended_ms) / span_ms
        wait_ms = int(max(1.0, limit * _DRAIN_SHARE) / per_ms)
        return min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms))
