"""Runs the daemon by ``python -m samphiredock.daemon``."""

from samphiredock.daemon import main

main.main()
