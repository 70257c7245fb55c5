"""Which published snapshot is in force here: only a sound one."""

from samphiredock import logs
from samphiredock import metrics
from samphiredock import state

_log = logs.logger('snapshots')


class SnapshotValidator:
    """Keep the older snapshot when a published one is malformed.

    A gap in the shard ranges would make every answer partial, an overlap
    would count keys twice.  A refused snapshot is looked at again when the
    configuration changes, since that may name the targets it needs.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._held: state.Snapshot | None = None
        self._looked_at: tuple[
            state.Snapshot | None, state.Configuration | None
        ] = (None, None)

    def current(
        self,
        offered: state.Snapshot | None,
        configuration: state.Configuration | None,
    ) -> state.Snapshot | None:
        """Return the newest sound snapshot, given the newest published."""
        seen, under = self._looked_at
        if offered is seen and configuration is under:
            return self._held
        self._looked_at = (offered, configuration)
        if offered is None or configuration is None or offered is self._held:
            return self._held
        problems = state.check_snapshot(offered, configuration.targets)
        if not problems:
            self._held = offered
            return self._held
        self._metrics.add('snapshots_refused')
        _log.error(
            'snapshot refused',
            snapshot_id=offered.snapshot_id,
            problems=problems[:5],
        )
        return self._held
