"""Entry point of ``python -m samphiredock.daemon``."""

from samphiredock.daemon import main

main.main()
