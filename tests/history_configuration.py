"""The history of configuration changes, and its checkers.

Each checker takes the events of one run and returns the offending ones.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A daemon applied a revision; ``start`` numbers its process."""

    at_ms: float
    daemon: str
    start: int
    revision: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BecameReady:
    """A new daemon became ready.

    ``floor`` is the highest revision that any daemon it could reach had in
    force when it started.
    """

    at_ms: float
    daemon: str
    start: int
    revision: int
    floor: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An operator got an outcome; ``outcome`` is the name of its type."""

    at_ms: float
    change_id: str
    outcome: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Observed:
    """The revision in force at a daemon, reachable since ``reachable_ms``."""

    at_ms: float
    daemon: str
    reachable_ms: float
    revision: int


Event = Applied | BecameReady | Answered | Observed
_NEVER_IN_FORCE = ('ChangeConflict', 'ChangeInvalid', 'ChangeUnavailable')


def reverted(events: typing.Sequence[Event]) -> list[Applied]:
    """Return applied revisions that were not above the one in force."""
    held: dict[tuple[str, int], int] = {}
    bad = []
    for event in events:
        if not isinstance(event, Applied):
            continue
        key = event.daemon, event.start
        if event.revision <= held.get(key, 0):
            bad.append(event)
        held[key] = max(event.revision, held.get(key, 0))
    return bad


def ready_too_old(events: typing.Sequence[Event]) -> list[BecameReady]:
    """Return new daemons that became ready below a reachable revision."""
    return [
        event
        for event in events
        if isinstance(event, BecameReady) and event.revision < event.floor
    ]


def conflicting_revisions(events: typing.Sequence[Event]) -> list[Applied]:
    """Return revisions that were in force with two contents."""
    first: dict[int, str] = {}
    return [
        event
        for event in events
        if isinstance(event, Applied)
        and first.setdefault(event.revision, event.change_id)
        != event.change_id
    ]


def refused_but_applied(events: typing.Sequence[Event]) -> list[Answered]:
    """Return changes that were refused and are in force nevertheless."""
    applied = {e.change_id for e in events if isinstance(e, Applied)}
    return [
        event
        for event in events
        if isinstance(event, Answered)
        and event.outcome in _NEVER_IN_FORCE
        and event.change_id in applied
    ]


def accepted_but_lost(
    events: typing.Sequence[Event], stored: typing.Mapping[int, str]
) -> list[Answered]:
    """Return accepted changes that the store's list does not have."""
    return [
        event
        for event in events
        if isinstance(event, Answered)
        and event.outcome == 'ChangeAccepted'
        and stored.get(event.revision) != event.change_id
    ]


def overdue(
    events: typing.Sequence[Event], limit_ms: float
) -> list[tuple[Answered, Observed]]:
    """Return reachable daemons that lack an accepted change after the limit.

    A daemon with a later revision does not lack it: the change was
    overwritten.
    """
    accepted = [
        event
        for event in events
        if isinstance(event, Answered) and event.outcome == 'ChangeAccepted'
    ]
    return [
        (change, event)
        for event in events
        if isinstance(event, Observed)
        for change in accepted
        if event.revision < change.revision
        and event.at_ms - max(change.at_ms, event.reachable_ms) > limit_ms
    ]
