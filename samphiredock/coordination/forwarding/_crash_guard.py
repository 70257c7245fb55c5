"""Refuse contents that crash the targets that run them.

A request may crash each target that begins it, and its caller sends it
again, at any daemon.  Each time a search takes one target of every shard
with it.  The dispatchers of the other door try a suspect alone first; here
a caller's time is over before that could end, so a content is convicted by
what it did: targets were lost under it in two requests that came one after
the other.  One outage, however many targets it takes, is one occasion.
"""

import collections
import dataclasses
import typing

import xxhash

from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

OCCASIONS = 2
"""A content that was there by chance when targets were lost would have to
be there by chance a second time."""

TARGETS = 2
"""Lost targets that convict; one may crash twice by itself."""

APART_MS = 250.0
"""Losses closer to each other than this are one occasion.  A caller whose
request failed sends it again at once, but the targets of the first one are
down then; those of the second are lost after a service time at least."""

FORGET_MS = 60_000.0
"""How long a suspicion, or a conviction, is kept after the last loss."""

RETRY_AFTER_MS = 30_000
_CONTENTS = 1_000

_log = logs.logger('crashes')


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A target was lost while it ran a content, under this request."""

    fingerprint: str
    request_id: str
    target: str


@dataclasses.dataclass(slots=True)
class _Case:
    """``occasions`` are the requests under which targets were lost."""

    targets: set[str] = dataclasses.field(default_factory=set)
    occasions: set[str] = dataclasses.field(default_factory=set)
    last_ms: float = 0.0

    def is_convicted(self) -> bool:
        return (
            len(self.occasions) >= OCCASIONS and len(self.targets) >= TARGETS
        )


def fingerprint_of(request: protocol.ForwardRequest) -> str:
    """Return a digest that is equal for requests with the same content."""
    head = '\0'.join((request.method, request.host, request.path, ''))
    return xxhash.xxh64_hexdigest(head.encode() + request.body)


class CrashGuard:
    """What is known of contents and lost targets.

    Parameters
    ----------
    clock, counters
        The timers and metrics of this daemon.
    tell
        Called with each loss that was found here, for the other daemons.
    """

    def __init__(
        self,
        clock: timers.Timers,
        counters: metrics.Metrics,
        tell: typing.Callable[[Loss], None],
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._tell = tell
        self._cases: collections.OrderedDict[str, _Case] = (
            collections.OrderedDict()
        )

    def report_loss(self, loss: Loss) -> None:
        """A target was lost under a request of this daemon."""
        self.record_loss(loss)
        self._tell(loss)

    def record_loss(self, loss: Loss) -> None:
        """Take a loss in, found here or told by another daemon."""
        now_ms = self._clock.now_ms()
        case = self._case(loss.fingerprint, now_ms)
        before = case.is_convicted()
        if not case.occasions or now_ms - case.last_ms >= APART_MS:
            case.occasions.add(loss.request_id)
        case.targets.add(loss.target)
        case.last_ms = now_ms
        if case.is_convicted() and not before:
            self._metrics.add('contents_convicted')
            _log.warning(
                'content crashes targets and is refused',
                fingerprint=loss.fingerprint,
                request=loss.request_id,
                targets=sorted(case.targets)[:8],
                requests=sorted(case.occasions)[:8],
                for_ms=FORGET_MS,
            )

    def refusal(
        self, request: protocol.ForwardRequest
    ) -> protocol.NotRun | None:
        """Return why a request may not run now, None if it may."""
        if not self._cases:
            return None
        case = self._cases.get(fingerprint_of(request))
        if case is None or not case.is_convicted():
            return None
        if self._clock.now_ms() - case.last_ms > FORGET_MS:
            return None
        return protocol.NotRun(
            protocol.NotRunReason.QUARANTINED,
            f'{len(case.targets)} targets were lost while they ran this '
            f'content, in {len(case.occasions)} requests',
            RETRY_AFTER_MS,
        )

    def _case(self, fingerprint: str, now_ms: float) -> _Case:
        case = self._cases.get(fingerprint)
        if case is None or now_ms - case.last_ms > FORGET_MS:
            case = self._cases[fingerprint] = _Case()
        self._cases.move_to_end(fingerprint)
        while len(self._cases) > _CONTENTS:
            self._cases.popitem(last=False)
        return case
