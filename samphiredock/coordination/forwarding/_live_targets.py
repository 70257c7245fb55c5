"""The registered targets, and which of them may get work."""

import collections
import typing

from samphiredock.coordination.targets import _observed_health
from samphiredock import logs
from samphiredock import state
from samphiredock import timers

STORE_GRACE_MS = 2_500.0
"""How long an entry may be missing after the store was unreachable.  Entries
expire while nobody can renew them and reappear within about two seconds; if
they were removed at once, an outage of the store would lose all targets."""

_MAX_SERVICES_LOGGED = 16

_log = logs.logger('targets')


class LiveTargets:
    """Registered targets by id and by service, with their observed health.

    Implements the ``TargetView`` of a scatter for targets that are asked
    directly: each target is its own dispatcher.
    """

    snapshot: state.Snapshot | None = None

    def __init__(self, clock: timers.Timers) -> None:
        self._clock = clock
        self._targets: dict[str, state.LiveTarget] = {}
        self._records: dict[str, _observed_health.ObservedHealth] = {}
        self._by_service: dict[str, list[str]] = {}
        self._missing: dict[str, float] = {}
        self._misdirected: set[str] = set()
        self._store_unavailable_ms = -STORE_GRACE_MS
        self._on_removed: list[typing.Callable[[state.LiveTarget], None]] = []
        self._on_added: list[typing.Callable[[state.LiveTarget], None]] = []

    # Lookups.

    def get(self, target_id: str) -> state.LiveTarget | None:
        """Return a registered target, None if there is none of this id."""
        return self._targets.get(target_id)

    def record(self, target_id: str) -> _observed_health.ObservedHealth:
        """Return the observed health of a registered target."""
        return self._records[target_id]

    def of_service(self, service: str) -> list[str]:
        """Return the ids of a service's targets that are not leaving."""
        return self._by_service.get(service, [])

    def is_empty(self) -> bool:
        """Whether no target is registered."""
        return not self._targets

    def all(self) -> list[state.LiveTarget]:
        """Return every registered target."""
        return list(self._targets.values())

    # TargetView.

    def owner(self, target: str) -> str | None:
        """Return the target itself, which is its own dispatcher."""
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
        """Call ``callback`` with each target that is removed from now on."""
        self._on_removed.append(callback)

    def on_added(
        self, callback: typing.Callable[[state.LiveTarget], None]
    ) -> None:
        """Call ``callback`` with each target that is added from now on."""
        self._on_added.append(callback)

    def put(self, target: state.LiveTarget) -> None:
        """Add or update one target."""
        self.put_all([target])

    def put_all(self, targets: typing.Sequence[state.LiveTarget]) -> None:
        """Add or update several targets.

        Indexes and logs once for all of them: a daemon that starts reads
        hundreds of entries at once, while callers wait.
        """
        changed = [
            row for row in targets if self._targets.get(row.target_id) != row
        ]
        for target in targets:
            self._missing.pop(target.target_id, None)
        if not changed:
            return
        self._drop_restarted(changed)
        new = [row for row in changed if row.target_id not in self._targets]
        changed_leaving = [
            row for row in changed if self._has_leaving_changed(row)
        ]
        for target in changed:
            if target.target_id not in self._records:
                self._records[target.target_id] = (
                    _observed_health.ObservedHealth()
                )
            self._records[target.target_id].set_leaving(target.leaving)
            self._targets[target.target_id] = target
        self._index()
        _log_changes(new, changed_leaving)
        for target in new:
            for callback in self._on_added:
                callback(target)

    def _drop_restarted(self, changed: list[state.LiveTarget]) -> None:
        """Drop targets that have restarted under their id.

        Their old connections are dead, and their observed health is that of
        another process.
        """
        for target in changed:
            before = self._targets.get(target.target_id)
            if (
                before is not None
                and before.started_at_ms != target.started_at_ms
            ):
                self._drop(target.target_id, 'started again')

    def _has_leaving_changed(self, target: state.LiveTarget) -> bool:
        """Whether a known target begins to leave or stops leaving."""
        before = self._targets.get(target.target_id)
        return before is not None and before.leaving != target.leaving

    def remove(self, target_id: str) -> None:
        """Remove a target; after a store outage only after a grace time."""
        if target_id not in self._targets:
            return
        now_ms = self._clock.now_ms()
        until_ms = self._store_unavailable_ms + STORE_GRACE_MS
        if now_ms >= until_ms:
            self._drop(target_id)
            return
        self._missing[target_id] = until_ms
        self._clock.after(until_ms - now_ms, self._drop_missing)

    def remove_unreadable(self, target_id: str) -> None:
        """Remove a target whose entry cannot be read."""
        if target_id in self._targets:
            self._drop(target_id, 'entry cannot be read')

    def keep_only(self, target_ids: typing.Container[str]) -> None:
        """Remove the targets that a complete read of the store lacks."""
        for target_id in list(self._targets):
            if target_id not in target_ids:
                self.remove(target_id)

    def on_store_unavailable(self) -> None:
        """Note that the store is unreachable and entries may expire."""
        self._store_unavailable_ms = self._clock.now_ms()

    def mark_misdirected(self, target_id: str) -> None:
        """Stop using a target whose address now belongs to another one."""
        if target_id in self._targets:
            self._misdirected.add(target_id)

    def _drop_missing(self) -> None:
        now_ms = self._clock.now_ms()
        # Another outage since then extends the grace time.
        until_ms = self._store_unavailable_ms + STORE_GRACE_MS
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
            'target removed', target=target_id, service=target.service, why=why
        )
        for callback in self._on_removed:
            callback(target)

    def _index(self) -> None:
        index: dict[str, list[str]] = collections.defaultdict(list)
        for target in self._targets.values():
            if not target.leaving:
                index[target.service].append(target.target_id)
        self._by_service = dict(index)


def _log_changes(
    new: list[state.LiveTarget], changed_leaving: list[state.LiveTarget]
) -> None:
    """Log which targets were added, began to leave or returned."""
    changed = [*new, *changed_leaving]
    if not changed:
        return
    by_service = collections.Counter(row.service for row in changed)
    _log.info(
        'targets changed',
        new=[row.target_id for row in new],
        leaving=[row.target_id for row in changed if row.leaving],
        back=[row.target_id for row in changed_leaving if not row.leaving],
        services=dict(by_service.most_common(_MAX_SERVICES_LOGGED)),
        services_more=max(0, len(by_service) - _MAX_SERVICES_LOGGED),
    )
