"""Runs unrepeatable requests at most once, by claims in the store."""

from samphiredock import lazy

__getattr__, __dir__, __all__ = lazy.public_names(
    __name__,
    {
        '_run_once': ('Runner',),
        '_run_request': ('RunQuarantine',),
    },
)
