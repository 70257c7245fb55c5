"""A query tier that scatters searches over many shards.

The daemon ``samphiredockd`` (:mod:`samphiredock.daemon`) serves callers; the
command ``samphiredock`` (:mod:`samphiredock.cli`) is for operators.  The
types of requests and outcomes are in :mod:`samphiredock.protocol`.
"""

from samphiredock import lazy

__version__ = '0.1.0'

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        'protocol': (
            'NotRunReason',
            'Outcome',
            'RunBody',
            'SearchRequest',
        ),
    },
)
