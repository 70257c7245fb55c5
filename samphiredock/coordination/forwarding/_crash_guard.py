"""Refuses requests whose content crashes the targets that run it.

A request's content is its method, host, path and body.  If it crashes targets,
its caller retries it at any daemon, and each search takes down one target of
every shard.  There is no time to try a suspect content on a single target
first, so all daemons tell each other of targets lost while running a content,
and each decides by :mod:`_crash_evidence` whether to refuse it.
"""

import collections
import dataclasses
import itertools
import typing

import msgspec
import xxhash

from samphiredock.coordination.forwarding import _crash_evidence
from samphiredock.coordination.forwarding import _request_counts
from samphiredock import logs
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import timers

EXPIRY_MS = 60_000.0
"""How long a content is remembered, and refused, after its last loss."""

_MAX_LOSSES = 1_000
"""Losses of all contents that are kept; the oldest are dropped."""

_LOGGED_LOSSES = 8

_log = logs.logger('crashes')


class Loss(msgspec.Struct, frozen=True):
    """A target was lost while it ran a content in this request.

    ``reporter`` is the daemon that found it.  ``succeeded`` are its recent
    requests with this content that ended well, ``route_succeeded`` those of
    the content's route.  ``started_at_ms`` is when the target had started, in
    ms since the epoch, 0 if that is not known.
    """

    fingerprint: str
    request_id: str
    target: str
    reporter: str = ''
    succeeded: int = 0
    route_succeeded: int = 0
    started_at_ms: int = 0


@dataclasses.dataclass(slots=True)
class _Content:
    """A content under which targets were lost.

    ``losses`` are in order of time.  ``counts`` has, for each other daemon,
    the requests that ended well with this content and of its route.
    ``decided_by`` is what the last decision was based on.
    """

    losses: list[_crash_evidence.TargetLoss] = dataclasses.field(
        default_factory=list
    )
    counts: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    is_refused: bool = False
    decided_by: tuple[int, int, int] = (0, 0, 0)

    def last_ms(self) -> float:
        """Return when the last target was lost."""
        return self.losses[-1].at_ms

    def basis(
        self, losses: list[_crash_evidence.TargetLoss], succeeded: int
    ) -> tuple[int, int, int]:
        """Return what must change for a new decision.

        These are, among the losses that count, the separate requests and
        whether enough targets were lost, and the requests that ended well,
        ``succeeded`` of them at this daemon.
        """
        return (
            len(_crash_evidence.separate_requests(losses)),
            min(len(_targets(losses)), _crash_evidence.MIN_TARGETS),
            succeeded + sum(count for count, _ in self.counts.values()),
        )

    def has(self, loss: _crash_evidence.TargetLoss) -> bool:
        """Whether a loss was reported before, by another daemon."""
        return any(map(loss.is_same_as, self.losses))


def _targets(losses: typing.Iterable[_crash_evidence.TargetLoss]) -> set[str]:
    return {loss.target for loss in losses}


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
    name
        This daemon, as the reporter of the losses that it finds.
    """

    def __init__(
        self,
        clock: timers.Timers,
        counters: metrics.Metrics,
        broadcast: typing.Callable[[Loss], None],
        name: str = '',
    ) -> None:
        self._clock = clock
        self._metrics = counters
        self._broadcast = broadcast
        self._name = name
        self._counts = _request_counts.RequestCounts(clock)
        self._contents: dict[str, _Content] = {}
        self._losses: collections.deque[_crash_evidence.TargetLoss] = (
            collections.deque()
        )

    def record_success(
        self, request: protocol.ForwardRequest, route: str
    ) -> None:
        """Record a request that ended well and lost no target."""
        self._counts.add(fingerprint_of(request), route)

    def report_loss(self, loss: Loss) -> None:
        """Record a loss found by this daemon, and inform the others."""
        succeeded, route_succeeded = self._counts.of(loss.fingerprint)
        loss = msgspec.structs.replace(
            loss,
            reporter=self._name,
            succeeded=succeeded,
            route_succeeded=route_succeeded,
        )
        self.record_loss(loss)
        self._broadcast(loss)

    def record_loss(self, loss: Loss) -> None:
        """Record a loss found by this daemon or reported by another one."""
        now_ms = self._clock.now_ms()
        self._forget_old(now_ms)
        content = self._contents.setdefault(loss.fingerprint, _Content())
        if loss.reporter and loss.reporter != self._name:
            counts = (loss.succeeded, loss.route_succeeded)
            content.counts[loss.reporter] = counts
        row = _crash_evidence.TargetLoss(
            now_ms,
            loss.fingerprint,
            loss.request_id,
            loss.target,
            loss.started_at_ms,
        )
        if not content.has(row):
            content.losses.append(row)
            self._losses.append(row)
            _log.info(
                'target lost while it ran a content',
                fingerprint=loss.fingerprint,
                request=loss.request_id,
                target=loss.target,
                reporter=loss.reporter,
            )
        losses = self._own_losses(content)
        succeeded, _ = self._counts.of(loss.fingerprint)
        basis = content.basis(losses, succeeded)
        if losses and basis != content.decided_by:
            content.decided_by = basis
            self._decide(loss.fingerprint, content, losses)

    def refusal(
        self, request: protocol.ForwardRequest
    ) -> protocol.NotRun | None:
        """Return the refusal of a quarantined request, None if it may run."""
        if not self._contents:
            return None
        content = self._contents.get(fingerprint_of(request))
        if content is None or not content.is_refused:
            return None
        left_ms = content.last_ms() + EXPIRY_MS - self._clock.now_ms()
        if left_ms < 0.0:
            return None
        return protocol.NotRun(
            protocol.NotRunReason.QUARANTINED,
            f'{len(_targets(content.losses))} targets were lost while they '
            'ran this content',
            int(left_ms),
        )

    def _own_losses(
        self, content: _Content
    ) -> list[_crash_evidence.TargetLoss]:
        """Return the losses that no refused content explains.

        What runs beside a refused content at its targets is lost with them.
        That is so for the losses of the refused content only, not for what is
        lost later at a target of the same id.
        """
        if content.is_refused:
            # Two refused contents must not clear each other.
            return content.losses
        explained = itertools.chain.from_iterable(
            other.losses
            for other in self._contents.values()
            if other.is_refused
        )
        return _crash_evidence.without(content.losses, explained)

    def _decide(
        self,
        fingerprint: str,
        content: _Content,
        losses: list[_crash_evidence.TargetLoss],
    ) -> None:
        """Refuse a content, or serve it again, by the evidence now known.

        Losses of other causes do not clear a content that is refused; only
        requests that ended well do.
        """
        evidence = self._evidence(fingerprint, content, losses)
        was_refused = content.is_refused
        if was_refused:
            evidence = dataclasses.replace(evidence, other_losses=0)
        content.is_refused = evidence.is_against()
        if content.is_refused == was_refused:
            return
        if content.is_refused:
            self._metrics.add('contents_convicted')
        _log.warning(
            'content crashes targets and is refused'
            if content.is_refused
            else 'content is no longer refused',
            fingerprint=fingerprint,
            losses=self._describe(losses[-_LOGGED_LOSSES:]),
            for_ms=EXPIRY_MS if content.is_refused else 0.0,
            chance=evidence.chance(),
            **dataclasses.asdict(evidence),
        )

    def _evidence(
        self,
        fingerprint: str,
        content: _Content,
        losses: list[_crash_evidence.TargetLoss],
    ) -> _crash_evidence.Evidence:
        requests = len(_crash_evidence.separate_requests(losses))
        targets = len(_targets(losses))
        if requests < _crash_evidence.MIN_REQUESTS:
            return _crash_evidence.Evidence(requests, targets)
        counts = [self._counts.of(fingerprint), *content.counts.values()]
        succeeded = sum(count for count, _ in counts)
        return _crash_evidence.Evidence(
            requests,
            targets,
            _crash_evidence.count_other_losses(
                losses, self._losses, only_near=not succeeded
            ),
            succeeded,
            sum(count for _, count in counts),
            _crash_evidence.contents_per_loss(self._losses),
        )

    def _forget_old(self, now_ms: float) -> None:
        """Forget expired losses, and those beyond the limit."""
        since_ms = now_ms - EXPIRY_MS
        while self._losses and (
            self._losses[0].at_ms < since_ms
            or len(self._losses) >= _MAX_LOSSES
        ):
            old = self._losses.popleft()
            content = self._contents[old.fingerprint]
            if content.losses[-1] is old:
                del self._contents[old.fingerprint]
            elif not content.is_refused:
                content.losses = [
                    loss for loss in content.losses if loss is not old
                ]

    def _describe(
        self, losses: typing.Iterable[_crash_evidence.TargetLoss]
    ) -> list[dict[str, object]]:
        """Return losses as the log shows them."""
        now_ms = self._clock.now_ms()
        return [
            {
                'ago_ms': round(now_ms - loss.at_ms),
                'request': loss.request_id,
                'target': loss.target,
            }
            for loss in losses
        ]
