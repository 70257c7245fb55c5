"""The decisions and the tasks that carry them out."""

from samphiredock.coordination._coordinator import Coordinator
from samphiredock.coordination._dispatcher import Dispatcher
from samphiredock.coordination._lane import Lane
from samphiredock.coordination._lane import StartExchange
from samphiredock.coordination._lane import Work
from samphiredock.coordination._membership import Heartbeat
from samphiredock.coordination._membership import MEMBERS_PREFIX
from samphiredock.coordination._membership import Membership
from samphiredock.coordination._merge import coverage_of
from samphiredock.coordination._merge import covered_ranges
from samphiredock.coordination._merge import merge_records
from samphiredock.coordination._merge import missing_ranges
from samphiredock.coordination._ownership import owner_of
from samphiredock.coordination._planner import fingerprint_of
from samphiredock.coordination._planner import make_plan
from samphiredock.coordination._planner import Plan
from samphiredock.coordination._run_once import Runner
from samphiredock.coordination._run_request import RunQuarantine
from samphiredock.coordination._scatter import DropAttempts
from samphiredock.coordination._scatter import Finish
from samphiredock.coordination._scatter import Scatter
from samphiredock.coordination._scatter import SendAttempts
from samphiredock.coordination._spread import CONFIGURATION_KEY
from samphiredock.coordination._spread import follow_knowledge
from samphiredock.coordination._spread import Knowledge
from samphiredock.coordination._spread import ObjectHandler
from samphiredock.coordination._spread import SNAPSHOT_KEY
from samphiredock.coordination._spread import Watcher

__all__ = [
    'CONFIGURATION_KEY',
    'Coordinator',
    'Dispatcher',
    'DropAttempts',
    'Finish',
    'Heartbeat',
    'Knowledge',
    'Lane',
    'MEMBERS_PREFIX',
    'Membership',
    'ObjectHandler',
    'Plan',
    'RunQuarantine',
    'Runner',
    'SNAPSHOT_KEY',
    'Scatter',
    'SendAttempts',
    'StartExchange',
    'Watcher',
    'Work',
    'coverage_of',
    'covered_ranges',
    'fingerprint_of',
    'follow_knowledge',
    'make_plan',
    'merge_records',
    'missing_ranges',
    'owner_of',
]
