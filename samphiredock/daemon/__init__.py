"""The daemon programs.

:mod:`samphiredock.daemon.main` runs the daemon that serves searches and runs,
:mod:`samphiredock.daemon.entry` the entry daemon, which forwards requests.
"""
