"""The targets that are running now, and which of them may get work."""

import collections
import typing

from samphiredock.coordination.targets import _observed_health
from samphiredock import logs
from samphiredock import state
from samphiredock import timers

RETURN_MS = 2_500.0
"""How long an entry may be missing after the store has been away.  Entries
lapse while nobody can renew them and are back within about two seconds;
taken as gone at once, all targets would be lost with the store."""

_NAMED_SERVICES = 16
"""Services that one log line names at most."""

_log = logs.logger('targets')


class LiveTargets:
    """Targets by id and by service, with what was observed of each.

    Implements :class:`coordination.Routes` for targets that are asked
    directly: each is its own dispatcher.
    """

    snapshot: state.Snapshot | None = None

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._targets: dict[str, state.LiveTarget] = {}
        self._records: dict[str, _observed_health.ObservedHealth] = {}
        self._by_service: dict[str, list[str]] = {}
        self._missing: dict[str, float] = {}
        self._misdirected: set[str] = set()
        self._store_back_ms = -RETURN_MS
        self._on_gone: list[typing.Callable[[state.LiveTarget], None]] = []
        self._on_new: list[typing.Callable[[state.LiveTarget], None]] = []

    # What is known.

    def get(self, target_id: str) -> state.LiveTarget | None:
        """Return a target that is registered."""
        return self._targets.get(target_id)

    def record(self, target_id: str) -> _observed_health.ObservedHealth:
        """Return what was observed of a registered target."""
        return self._records[target_id]

    def of_service(self, service: str) -> list[str]:
        """Return the ids of a service's targets that are not leaving."""
        return self._by_service.get(service, [])

    def is_empty(self) -> bool:
        """Whether no target is known yet."""
        return not self._targets

    def all(self) -> list[state.LiveTarget]:
        """Return every registered target."""
        return list(self._targets.values())

    # Routes.

    def owner(self, target: str) -> str | None:
        """A target that is asked directly is its own dispatcher."""
        return target if target in self._targets else None

    def is_usable(self, target: str) -> bool:
        """Whether a target may get new work."""
        found = self._targets.get(target)
        if found is None or found.leaving or target in self._misdirected:
            return False
        return not self._records[target].is_lost(self._clock.now_ms())

    # Changes.

    def on_removed(
        self, callback: typing.Callable[[state.LiveTarget], None]
    ) -> None:
        """Call back with each target that is not registered any more."""
        self._on_gone.append(callback)

    def on_added(
        self, callback: typing.Callable[[state.LiveTarget], None]
    ) -> None:
        """Call back with each target that is seen for the first time."""
        self._on_new.append(callback)

    def put(self, target: state.LiveTarget) -> None:
        """Take in a target's newest entry."""
        self.put_all([target])

    def put_all(self, targets: typing.Sequence[state.LiveTarget]) -> None:
        """Take in the newest entries of several targets.

        One index and one log line for all of them: a daemon that starts on
        a large system reads some 700, and callers wait meanwhile.
        """
        changed = [
            row for row in targets if self._targets.get(row.target_id) != row
        ]
        for target in targets:
            self._missing.pop(target.target_id, None)
        if not changed:
            return
        self._forget_reborn(changed)
        new = [row for row in changed if row.target_id not in self._targets]
        turned = [row for row in changed if self._turned(row)]
        for target in changed:
            if target.target_id not in self._records:
                self._records[target.target_id] = (
                    _observed_health.ObservedHealth()
                )
            self._records[target.target_id].set_leaving(target.leaving)
            self._targets[target.target_id] = target
        self._index()
        _note_changes(new, turned)
        for target in new:
            for callback in self._on_new:
                callback(target)

    def _forget_reborn(self, changed: list[state.LiveTarget]) -> None:
        """Drop what was known of targets that have started again.

        One that starts again under its id holds nothing of before: its old
        connections are silent, and its record tells of another process.
        """
        for target in changed:
            before = self._targets.get(target.target_id)
            if (
                before is not None
                and before.started_at_ms != target.started_at_ms
            ):
                self._drop(target.target_id, 'started again')

    def _turned(self, target: state.LiveTarget) -> bool:
        """Whether a known target begins to leave, or has come back."""
        before = self._targets.get(target.target_id)
        return before is not None and before.leaving != target.leaving

    def remove(self, target_id: str) -> None:
        """A target's entry is gone; while the store returns, wait for it."""
        if target_id not in self._targets:
            return
        now_ms = self._clock.now_ms()
        until_ms = self._store_back_ms + RETURN_MS
        if now_ms >= until_ms:
            self._drop(target_id)
            return
        self._missing[target_id] = until_ms
        self._clock.after(until_ms - now_ms, self._drop_missing)

    def remove_unreadable(self, target_id: str) -> None:
        """A target's entry cannot be read: it names no target to use."""
        if target_id in self._targets:
            self._drop(target_id, 'entry cannot be read')

    def keep_only(self, target_ids: typing.Container[str]) -> None:
        """The store has been read whole: what it lacks is gone."""
        for target_id in list(self._targets):
            if target_id not in target_ids:
                self.remove(target_id)

    def on_store_unavailable(self) -> None:
        """The store did not answer; entries may lapse meanwhile."""
        self._store_back_ms = self._clock.now_ms()

    def mark_misdirected(self, target_id: str) -> None:
        """Another target has the address now: nothing more goes there."""
        if target_id in self._targets:
            self._misdirected.add(target_id)

    def _drop_missing(self) -> None:
        now_ms = self._clock.now_ms()
        # Another outage since then moves the end of the wait.
        until_ms = self._store_back_ms + RETURN_MS
        if now_ms < until_ms:
            self._clock.after(until_ms - now_ms, self._drop_missing)
            return
        for target_id in list(self._missing):
            self._drop(target_id)

    def _drop(self, target_id: str, why: str = 'not registered') -> None:
        self._missing.pop(target_id, None)
        self._misdirected.discard(target_id)
        target = self._targets.pop(target_id)
        del self._records[target_id]
        self._index()
        _log.info(
            'target gone', target=target_id, service=target.service, why=why
        )
        for callback in self._on_gone:
            callback(target)

    def _index(self) -> None:
        index: dict[str, list[str]] = collections.defaultdict(list)
        for target in self._targets.values():
            if not target.leaving:
                index[target.service].append(target.target_id)
        self._by_service = dict(index)


def _note_changes(
    new: list[state.LiveTarget], turned: list[state.LiveTarget]
) -> None:
    """Log which targets came, and which began to leave or came back."""
    came = [*new, *turned]
    if not came:
        return
    by_service = collections.Counter(row.service for row in came)
    _log.info(
        'target entries',
        new=[row.target_id for row in new],
        leaving=[row.target_id for row in came if row.leaving],
        back=[row.target_id for row in turned if not row.leaving],
        services=dict(by_service.most_common(_NAMED_SERVICES)),
        services_more=max(0, len(by_service) - _NAMED_SERVICES),
    )
