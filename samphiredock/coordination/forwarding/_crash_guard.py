"""Refuses requests whose content crashes the targets that run it.

A request's content is its method, host, path and body.  If it crashes targets,
its caller retries it at any daemon, and each search takes down one target of
every shard.  There is no time to try a suspect content on a single target
first, so it is quarantined after targets were lost while running it in two
separate requests.  One outage counts as one request, however many targets it
takes down.
"""

import collections
import dataclasses
import typing

import xxhash

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

MIN_REQUESTS = 2
"""Requests that must have lost targets.  A content that was running by chance
during one outage is unlikely to be running during a second one."""

MIN_TARGETS = 2
"""Distinct targets that must be lost; a single one may crash on its own."""

MIN_GAP_MS = 250.0
"""Losses closer together than this count as one request.  A retry sent at once
meets targets that are already down; those that it crashes itself are lost
later, since they work on it first."""

EXPIRY_MS = 60_000.0
"""How long a content is remembered after its last loss."""

RETRY_AFTER_MS = 30_000
_MAX_CONTENTS = 1_000

_log = logs.logger('crashes')


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A target was lost while it ran a content in this request."""

    fingerprint: str
    request_id: str
    target: str


@dataclasses.dataclass(slots=True)
class _ContentLosses:
    """Targets lost while they ran one content.

    ``requests`` are the requests that count, ``last_ms`` is the last loss.
    """

    targets: set[str] = dataclasses.field(default_factory=set)
    requests: set[str] = dataclasses.field(default_factory=set)
    last_ms: float = 0.0

    def is_quarantined(self) -> bool:
        return (
            len(self.requests) >= MIN_REQUESTS
            and len(self.targets) >= MIN_TARGETS
        )


def fingerprint_of(request: protocol.ForwardRequest) -> str:
    """Return a digest that is equal for requests with the same content."""
    head = '\0'.join((request.method, request.host, request.path, ''))
    return xxhash.xxh64_hexdigest(head.encode() + request.body)


class CrashGuard:
    """Tracks contents under which targets were lost.

    Parameters
    ----------
    clock, counters
        The timers and metrics of this daemon.
    broadcast
        Called with each loss found by this daemon, to inform the others.
    """

    def __init__(
        self,
        clock: timers.Timers,
        counters: metrics.Metrics,
        broadcast: typing.Callable[[Loss], None],
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._broadcast = broadcast
        self._losses: collections.OrderedDict[str, _ContentLosses] = (
            collections.OrderedDict()
        )

    def report_loss(self, loss: Loss) -> None:
        """Record a loss found by this daemon, and inform the others."""
        self.record_loss(loss)
        self._broadcast(loss)

    def record_loss(self, loss: Loss) -> None:
        """Record a loss found by this daemon or reported by another one."""
        now_ms = self._clock.now_ms()
        losses = self._losses_of(loss.fingerprint, now_ms)
        was_quarantined = losses.is_quarantined()
        if not losses.requests or now_ms - losses.last_ms >= MIN_GAP_MS:
            losses.requests.add(loss.request_id)
        losses.targets.add(loss.target)
        losses.last_ms = now_ms
        if losses.is_quarantined() and not was_quarantined:
            self._metrics.add('contents_convicted')
            _log.warning(
                'content crashes targets and is refused',
                fingerprint=loss.fingerprint,
                request=loss.request_id,
                targets=sorted(losses.targets)[:8],
                requests=sorted(losses.requests)[:8],
                for_ms=EXPIRY_MS,
            )

    def refusal(
        self, request: protocol.ForwardRequest
    ) -> protocol.NotRun | None:
        """Return the refusal of a quarantined request, None if it may run."""
        if not self._losses:
            return None
        losses = self._losses.get(fingerprint_of(request))
        if losses is None or not losses.is_quarantined():
            return None
        if self._clock.now_ms() - losses.last_ms > EXPIRY_MS:
            return None
        return protocol.NotRun(
            protocol.NotRunReason.QUARANTINED,
            f'{len(losses.targets)} targets were lost while they ran this '
            f'content, in {len(losses.requests)} requests',
            RETRY_AFTER_MS,
        )

    def _losses_of(self, fingerprint: str, now_ms: float) -> _ContentLosses:
        losses = self._losses.get(fingerprint)
        if losses is None or now_ms - losses.last_ms > EXPIRY_MS:
            losses = self._losses[fingerprint] = _ContentLosses()
        self._losses.move_to_end(fingerprint)
        while len(self._losses) > _MAX_CONTENTS:
            self._losses.popitem(last=False)
        return losses
