"""Runs the command line as ``python -m samphiredock.cli``."""

from samphiredock.cli import main

main.main()
