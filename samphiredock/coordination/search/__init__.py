"""Searches: plan, scatter, judge, hedge, merge."""

from samphiredock.coordination.search._admission import Admission
from samphiredock.coordination.search._coordinator import Coordinator
from samphiredock.coordination.search._hedging import Latencies
from samphiredock.coordination.search._planner import Plan
from samphiredock.coordination.search._scatter import Scatter
from samphiredock.coordination.search._scatter_types import DropAttempts
from samphiredock.coordination.search._scatter_types import SendAttempts
from samphiredock.coordination.search._scatter_types import Tools

__all__ = [
    'Admission',
    'Coordinator',
    'DropAttempts',
    'Latencies',
    'Plan',
    'Scatter',
    'SendAttempts',
    'Tools',
]
