"""Requests that are passed on to targets unchanged, and merged."""

from samphiredock.coordination.forwarding._forwarder import Dialect
from samphiredock.coordination.forwarding._forwarder import Forwarder
from samphiredock.coordination.forwarding._forwarder import ForwardSettings
from samphiredock.coordination.forwarding._forwarder import Links
from samphiredock.coordination.forwarding._live_targets import LiveTargets
from samphiredock.coordination.forwarding._no_suspicions import NoSuspicions
from samphiredock.coordination.forwarding._presence import Presence
from samphiredock.coordination.forwarding._routing import RoutingKnowledge
from samphiredock.coordination.forwarding._splitter import Splitter
from samphiredock.coordination.forwarding._window_budget import WindowBudget

__all__ = [
    'Dialect',
    'ForwardSettings',
    'Forwarder',
    'Links',
    'LiveTargets',
    'NoSuspicions',
    'Presence',
    'RoutingKnowledge',
    'Splitter',
    'WindowBudget',
]
