"""The history of unrepeatable requests, and its checker.

Events are listed in the order in which they happened.
"""

import collections
import dataclasses
import typing

from samphiredock import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Called:
    """A caller sent a request to a daemon process, ``name/incarnation``."""

    call: int
    process: str
    key: str
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ordered:
    """A daemon sent the request to a dispatcher."""

    process: str
    key: str
    body: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """A target ran the request; ``receipt`` identifies the execution."""

    key: str
    attempt_id: str
    receipt: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The caller got its outcome."""

    call: int
    outcome: protocol.RunOutcome


Event = Called | Ordered | Executed | Answered


def violations(history: typing.Sequence[Event]) -> list[str]:
    """Return every violation of "at most once" and "not run", as texts."""
    return [
        *_run_twice(history),
        *_not_run_but_run(history),
        *_wrong_outcomes(history),
    ]


def _run_twice(history: typing.Sequence[Event]) -> list[str]:
    runs = collections.Counter(
        event.key for event in history if isinstance(event, Executed)
    )
    return [
        f'{key}: got {count} executions, expected at most 1'
        for key, count in runs.items()
        if count > 1
    ]


def _not_run_but_run(history: typing.Sequence[Event]) -> list[str]:
    """Check that an executed order has no call answered "not run".

    Calls of one key and body at one daemon share one attempt, so an order
    belongs to every such call that was open when it was sent.
    """
    executed = {
        event.attempt_id for event in history if isinstance(event, Executed)
    }
    answers = {
        event.call: (position, event.outcome)
        for position, event in enumerate(history)
        if isinstance(event, Answered)
    }
    found = []
    for position, order in enumerate(history):
        if not isinstance(order, Ordered):
            continue
        if order.attempt_id not in executed:
            continue
        open_calls = [
            event
            for event in history[:position]
            if isinstance(event, Called)
            and (event.process, event.key, event.body)
            == (order.process, order.key, order.body)
            and (
                event.call not in answers or answers[event.call][0] > position
            )
        ]
        if not open_calls:
            found.append(f'{order.attempt_id}: sent when no call was open')
        found += [
            f'{order.attempt_id}: ran, but call {event.call} was answered '
            f'{answers[event.call][1]}'
            for event in open_calls
            if event.call in answers
            and isinstance(answers[event.call][1], protocol.NotRun)
        ]
    return found


def _wrong_outcomes(history: typing.Sequence[Event]) -> list[str]:
    """Check that "completed" carries the receipt of the only execution."""
    keys = {
        event.call: event.key for event in history if isinstance(event, Called)
    }
    receipts: dict[str, set[str]] = collections.defaultdict(set)
    found = []
    for event in history:
        if isinstance(event, Executed):
            receipts[event.key].add(event.receipt)
        if not isinstance(event, Answered):
            continue
        if not isinstance(event.outcome, protocol.Completed):
            continue
        got = event.outcome.result.get('receipt')
        expected = receipts[keys[event.call]]
        if {got} != expected:
            found.append(
                f'call {event.call}: got receipt {got}, '
                f'expected the one of {sorted(expected)}'
            )
    return found
