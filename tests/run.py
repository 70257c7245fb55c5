"""Run every test module and close with one plain line of totals.

Each test module runs in this process, in name order, so that the verdict
does not depend on the machine.  ``SAMPHIREDOCK_SEED`` replays a run; the
seed in use is printed.  Tests named in ``KNOWN-RED.txt`` are run, printed
and not counted as failures.
"""

import logging
import os
import pathlib
import random
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
SEED_VARIABLE = 'SAMPHIREDOCK_SEED'
DEFAULT_SEED = '20261202'


def known_red() -> set[str]:
    """Return the test ids that KNOWN-RED.txt lists."""
    path = ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return set()
    lines = path.read_text(encoding='utf-8').splitlines()
    return {
        line.split(',')[0].strip()
        for line in lines
        if line.strip() and not line.startswith('#')
    }


def main(arguments: list[str]) -> int:
    """Run the tests below ``tests`` (or the named modules)."""
    seed = os.environ.setdefault(SEED_VARIABLE, DEFAULT_SEED)
    random.seed(int(seed))
    print(f'seed {seed} ({SEED_VARIABLE} replays another)', flush=True)
    logging.disable(logging.CRITICAL)
    loader = unittest.TestLoader()
    if arguments:
        suite = loader.loadTestsFromNames(arguments)
    else:
        suite = loader.discover(str(ROOT / 'tests'), 'test_*.py', str(ROOT))
    result = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=1, buffer=False
    ).run(suite)
    red = known_red()
    broken = [test.id() for test, _ in result.failures + result.errors]
    broken += [test.id() for test in result.unexpectedSuccesses]
    excused = [name for name in broken if name in red]
    failed = len(broken) - len(excused)
    for name in excused:
        print(f'known red (KNOWN-RED.txt): {name}')
    passed = result.testsRun - len(broken) - len(result.skipped)
    skipped = len(result.skipped)
    tail = f', {skipped} skipped' if skipped else ''
    print(f'{passed} passed, {failed} failed{tail}', flush=True)
    return 1 if failed or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
