"""What is in force: accepted, watched, told on, kept."""

from samphiredock.coordination.config._accept import Acceptor
from samphiredock.coordination.config._knowledge import CONFIGURATION_KEY
from samphiredock.coordination.config._knowledge import Knowledge
from samphiredock.coordination.config._snapshot_door import SnapshotDoor
from samphiredock.coordination.config._watcher import follow_knowledge
from samphiredock.coordination.config._watcher import Spread
from samphiredock.coordination.config._watcher import Watcher

__all__ = [
    'Acceptor',
    'CONFIGURATION_KEY',
    'Knowledge',
    'SnapshotDoor',
    'Spread',
    'Watcher',
    'follow_knowledge',
]
