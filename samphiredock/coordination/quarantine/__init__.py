"""Contents that crash targets: suspected, tried alone, refused."""

from samphiredock.coordination.quarantine._canary import KnownContents
from samphiredock.coordination.quarantine._quarantine import Quarantine
from samphiredock.coordination.quarantine._quarantine import QUARANTINE_PREFIX

__all__ = [
    'KnownContents',
    'QUARANTINE_PREFIX',
    'Quarantine',
]
