"""Requests that are passed on to targets unchanged, and merged."""

from samphiredock.coordination.forwarding._crash_guard import CrashGuard
from samphiredock.coordination.forwarding._crash_guard import fingerprint_of
from samphiredock.coordination.forwarding._crash_guard import Loss
from samphiredock.coordination.forwarding._forward_types import Dialect
from samphiredock.coordination.forwarding._forward_types import ForwardSettings
from samphiredock.coordination.forwarding._forward_types import Links
from samphiredock.coordination.forwarding._forwarder import Forwarder
from samphiredock.coordination.forwarding._handover import as_target
from samphiredock.coordination.forwarding._handover import coordinator_reply
from samphiredock.coordination.forwarding._handover import HandoverDialect
from samphiredock.coordination.forwarding._handover import HandoverRouting
from samphiredock.coordination.forwarding._handover import loss_notice
from samphiredock.coordination.forwarding._handover import LOSS_PATH
from samphiredock.coordination.forwarding._handover import read_handed_over
from samphiredock.coordination.forwarding._handover import read_loss
from samphiredock.coordination.forwarding._handover import refusal
from samphiredock.coordination.forwarding._handover import StaleHandoverDialect
from samphiredock.coordination.forwarding._introduce import introduce_every_ms
from samphiredock.coordination.forwarding._introduce import introduction
from samphiredock.coordination.forwarding._introduce import INTRODUCTION_PATH
from samphiredock.coordination.forwarding._introduce import read_introduction
from samphiredock.coordination.forwarding._introduce import successors
from samphiredock.coordination.forwarding._live_targets import LiveTargets
from samphiredock.coordination.forwarding._no_suspicions import NoSuspicions
from samphiredock.coordination.forwarding._presence import Presence
from samphiredock.coordination.forwarding._roles import connections_of_one
from samphiredock.coordination.forwarding._roles import coordinators_of
from samphiredock.coordination.forwarding._roles import Daemon
from samphiredock.coordination.forwarding._roles import is_near
from samphiredock.coordination.forwarding._roles import Role
from samphiredock.coordination.forwarding._routing import RoutingKnowledge
from samphiredock.coordination.forwarding._splitter import Splitter
from samphiredock.coordination.forwarding._window_budget import WindowBudget

__all__ = [
    'CrashGuard',
    'Daemon',
    'Dialect',
    'ForwardSettings',
    'Forwarder',
    'HandoverDialect',
    'HandoverRouting',
    'INTRODUCTION_PATH',
    'LOSS_PATH',
    'Links',
    'LiveTargets',
    'Loss',
    'NoSuspicions',
    'Presence',
    'Role',
    'RoutingKnowledge',
    'Splitter',
    'StaleHandoverDialect',
    'WindowBudget',
    'as_target',
    'connections_of_one',
    'coordinator_reply',
    'coordinators_of',
    'fingerprint_of',
    'introduce_every_ms',
    'introduction',
    'is_near',
    'loss_notice',
    'read_handed_over',
    'read_introduction',
    'read_loss',
    'refusal',
    'successors',
]
