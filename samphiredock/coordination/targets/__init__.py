"""Work at targets: queues and slots, records and signs, shares, budget."""

from samphiredock.coordination.targets._budget import ExtraBudget
from samphiredock.coordination.targets._dispatcher import Dispatcher
from samphiredock.coordination.targets._replicas import Replicas
from samphiredock.coordination.targets._target_signs import TARGETS_PREFIX
from samphiredock.coordination.targets._target_signs import TargetSigns

__all__ = [
    'Dispatcher',
    'ExtraBudget',
    'Replicas',
    'TARGETS_PREFIX',
    'TargetSigns',
]
