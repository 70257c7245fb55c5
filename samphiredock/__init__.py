"""A query tier over many shards.

``samphiredockd`` (:mod:`samphiredock.daemon`) serves callers;
``samphiredock`` (:mod:`samphiredock.cli`) is for operators.  The types of
requests and outcomes are in :mod:`samphiredock.protocol`.
"""

from samphiredock.protocol import NotRunReason
from samphiredock.protocol import Outcome
from samphiredock.protocol import RunBody
from samphiredock.protocol import SearchRequest

__version__ = '0.1.0'

__all__ = ['NotRunReason', 'Outcome', 'RunBody', 'SearchRequest']
