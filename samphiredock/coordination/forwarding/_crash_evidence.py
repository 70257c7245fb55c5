"""Decides whether the losses of targets speak against a request content.

A harmless content loses targets, too: those that die for another reason while
it runs there.  How often depends on how much of the work is this content's.
A content is refused once so many losses are unlikely by chance.
"""

import bisect
import dataclasses
import math
import typing

MIN_REQUESTS = 2
"""Requests that must have lost targets."""

MIN_TARGETS = 2
"""Distinct targets that must be lost; a single one may crash on its own."""

MAX_CHANCE = 0.001
"""Least probability of its losses at which a content counts as harmless.  Two
requests with a rare content suffice to refuse it, also beside one loss of
another cause."""

MIN_OPEN_SHARE = 0.015
"""Least probability that a harmless content runs at a target that is lost.  A
caller who sends a rare content again may meet the same outage again."""

PRIOR_REQUESTS = 100
"""Requests of other contents assumed at the start, when few were counted."""

EPISODE_GAP_MS = 250.0
"""Losses closer together than this count as one request.  A retry sent at once
meets targets that are already down; those that it crashes itself are lost
later, since they work on it first."""

EPISODE_LIMIT_MS = 1_000.0
"""Losses of one request are not spread wider than this.  A content that never
pauses would otherwise count as one request for ever."""

REPORT_SPREAD_MS = 2_000.0
"""Reports of one target within this time are of one loss: daemons find it at
different times, and their notices take as long as ``_NOTICE_TIMEOUT_MS``."""

OUTAGE_MS = 2_000.0
"""Losses this close together may have one cause, such as a failing rack."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoss:
    """A target was lost at ``at_ms`` while it ran a content.

    ``started_at_ms`` is when the target had started, by its own clock, 0 if
    that is not known: it may start again under its id.
    """

    at_ms: float
    fingerprint: str
    request_id: str
    target: str
    started_at_ms: int = 0

    def is_same_as(self, other: 'TargetLoss') -> bool:
        """Whether both are reports of one loss, maybe of different contents.

        A target that has started again is another one.
        """
        return (
            self.target == other.target
            and abs(self.at_ms - other.at_ms) < REPORT_SPREAD_MS
            and not (
                self.started_at_ms
                and other.started_at_ms
                and self.started_at_ms != other.started_at_ms
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about a content under which targets were lost.

    ``requests`` and ``targets`` count what was lost under it, ``other_losses``
    the losses of other causes at that time.  ``succeeded`` are the requests
    with this content that ended well, ``route_succeeded`` those of its route.
    ``contents_per_loss`` is the mean number of contents that ran at a lost
    target.
    """

    requests: int
    targets: int
    other_losses: int = 0
    succeeded: int = 0
    route_succeeded: int = 0
    contents_per_loss: float = 1.0

    def chance(self) -> float:
        """Return the probability of these losses if the content is harmless.

        It is an upper bound: that of at least ``requests`` hits among all
        losses, each with the probability :meth:`open_share`.
        """
        losses = self.requests + self.other_losses
        hits = math.comb(losses, self.requests)
        return min(1.0, hits * self.open_share() ** self.requests)

    def open_share(self) -> float:
        """Return how likely the content runs at a target that is lost."""
        share = self.succeeded / (self.route_succeeded + PRIOR_REQUESTS)
        return min(1.0, max(MIN_OPEN_SHARE, share * self.contents_per_loss))

    def is_against(self) -> bool:
        """Whether the content is to be refused."""
        return (
            self.requests >= MIN_REQUESTS
            and self.targets >= MIN_TARGETS
            and self.chance() <= MAX_CHANCE
        )


def separate_requests(losses: typing.Iterable[TargetLoss]) -> set[str]:
    """Return the ids of the requests that count as separate.

    ``losses`` are those of one content, in order of time.  Requests that lose
    targets at the same time count once.
    """
    counted: set[str] = set()
    began_ms = last_ms = -math.inf
    for loss in losses:
        if (
            loss.at_ms - last_ms >= EPISODE_GAP_MS
            or loss.at_ms - began_ms >= EPISODE_LIMIT_MS
        ):
            counted.add(loss.request_id)
            began_ms = loss.at_ms
        last_ms = loss.at_ms
    return counted


def count_other_losses(
    losses: typing.Sequence[TargetLoss],
    others: typing.Iterable[TargetLoss],
    only_near: bool,
) -> int:
    """Return how many losses the content does not explain.

    One request explains all targets lost under it, so the losses of others
    count as the number of requests that explain them together.

    Parameters
    ----------
    losses
        Those of the content, in order of time.
    others
        Those of all contents.
    only_near
        Count only what was lost about the time of a loss of the content.
    """
    own = {loss.target for loss in losses}
    times_ms = [loss.at_ms for loss in losses]
    began_ms = losses[0].at_ms - OUTAGE_MS
    by_request: dict[str, set[str]] = {}
    for loss in others:
        if loss.target in own or loss.at_ms < began_ms:
            continue
        if only_near and not _is_near(loss.at_ms, times_ms):
            continue
        by_request.setdefault(loss.request_id, set()).add(loss.target)
    explained: set[str] = set()
    count = 0
    for targets in sorted(by_request.values(), key=len, reverse=True):
        if not targets <= explained:
            explained |= targets
            count += 1
    return count


def without(
    losses: typing.Iterable[TargetLoss], explained: typing.Iterable[TargetLoss]
) -> list[TargetLoss]:
    """Return the losses that are not among those explained otherwise."""
    by_target: dict[str, list[TargetLoss]] = {}
    for loss in explained:
        by_target.setdefault(loss.target, []).append(loss)
    return [
        loss
        for loss in losses
        if not any(map(loss.is_same_as, by_target.get(loss.target, ())))
    ]


def contents_per_loss(losses: typing.Iterable[TargetLoss]) -> float:
    """Return the mean number of contents under which a target was lost."""
    pairs = {(loss.target, loss.fingerprint) for loss in losses}
    targets = {target for target, _ in pairs}
    return len(pairs) / len(targets) if targets else 1.0


def _is_near(at_ms: float, times_ms: typing.Sequence[float]) -> bool:
    """Whether a time is close to one of others, which are in order."""
    index = bisect.bisect_left(times_ms, at_ms - OUTAGE_MS)
    return index < len(times_ms) and times_ms[index] <= at_ms + OUTAGE_MS
