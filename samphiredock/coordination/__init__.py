"""The decisions and the tasks that carry them out."""

from samphiredock.coordination.config import Acceptor
from samphiredock.coordination.config import CONFIGURATION_KEY
from samphiredock.coordination.config import follow_knowledge
from samphiredock.coordination.config import Knowledge
from samphiredock.coordination.config import SnapshotDoor
from samphiredock.coordination.config import Spread
from samphiredock.coordination.config import Watcher
from samphiredock.coordination.fleet import Membership
from samphiredock.coordination.fleet import MemberTable
from samphiredock.coordination.fleet import owner_of
from samphiredock.coordination.fleet import owners_of
from samphiredock.coordination.fleet import ownership_groups
from samphiredock.coordination.fleet import OwnershipTable
from samphiredock.coordination.fleet import row_of
from samphiredock.coordination.once import Runner
from samphiredock.coordination.once import RunQuarantine
from samphiredock.coordination.quarantine import KnownContents
from samphiredock.coordination.quarantine import Quarantine
from samphiredock.coordination.quarantine import QUARANTINE_PREFIX
from samphiredock.coordination.search import Admission
from samphiredock.coordination.search import Coordinator
from samphiredock.coordination.search import DropAttempts
from samphiredock.coordination.search import Latencies
from samphiredock.coordination.search import Plan
from samphiredock.coordination.search import Scatter
from samphiredock.coordination.search import SendAttempts
from samphiredock.coordination.search import Tools
from samphiredock.coordination.targets import Dispatcher
from samphiredock.coordination.targets import ExtraBudget
from samphiredock.coordination.targets import Replicas
from samphiredock.coordination.targets import TARGETS_PREFIX
from samphiredock.coordination.targets import TargetSigns

__all__ = [
    'Acceptor',
    'Admission',
    'CONFIGURATION_KEY',
    'Coordinator',
    'Dispatcher',
    'DropAttempts',
    'ExtraBudget',
    'Knowledge',
    'KnownContents',
    'Latencies',
    'MemberTable',
    'Membership',
    'OwnershipTable',
    'Plan',
    'QUARANTINE_PREFIX',
    'Quarantine',
    'Replicas',
    'RunQuarantine',
    'Runner',
    'Scatter',
    'SendAttempts',
    'SnapshotDoor',
    'Spread',
    'TARGETS_PREFIX',
    'TargetSigns',
    'Tools',
    'Watcher',
    'follow_knowledge',
    'owner_of',
    'owners_of',
    'ownership_groups',
    'row_of',
]
