"""Validates published snapshots before they come into force."""

from samphiredock import logs
from samphiredock import metrics
from samphiredock import state

_log = logs.logger('snapshots')


class SnapshotValidator:
    """Keeps the last valid snapshot when a published one is invalid.

    A gap in the shard ranges would make every answer partial, and an overlap
    would count keys twice.  A refused snapshot is validated again when the
    configuration changes, as the new one may have the targets it names.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._valid: state.Snapshot | None = None
        self._last_checked: tuple[
            state.Snapshot | None, state.Configuration | None
        ] = (None, None)

    def current(
        self,
        published: state.Snapshot | None,
        configuration: state.Configuration | None,
    ) -> state.Snapshot | None:
        """Return the newest valid snapshot, given the newest published one."""
        checked_snapshot, checked_configuration = self._last_checked
        if (
            published is checked_snapshot
            and configuration is checked_configuration
        ):
            return self._valid
        self._last_checked = (published, configuration)
        if (
            published is None
            or configuration is None
            or published is self._valid
        ):
            return self._valid
        problems = state.check_snapshot(published, configuration.targets)
        if not problems:
            self._valid = published
            return self._valid
        self._metrics.add('snapshots_refused')
        _log.error(
            'snapshot refused',
            snapshot_id=published.snapshot_id,
            problems=problems[:5],
        )
        return self._valid
