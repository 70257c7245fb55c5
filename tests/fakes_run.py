"""One unrepeatable operation as a daemon knows it."""

import asyncio
import typing

from samphiredock import state

SERVICE = 'relief-payout'
OPERATION = 'release-payout'
TARGETS = ('desk-1', 'desk-2')
DEADLINE_MS = 2_000


def start(work: typing.Coroutine) -> asyncio.Task:
    """Start work that needs the clock to move."""
    return asyncio.get_running_loop().create_task(work)


class FakeView:
    """A daemon's knowledge: one operation, two targets, two dispatchers."""

    def __init__(self) -> None:
        operation = state.Operation(
            OPERATION, DEADLINE_MS, 'interactive', TARGETS
        )
        service = state.Service(
            SERVICE, {}, {OPERATION: operation}, 1.0, 1_000
        )
        self.configuration: state.Configuration | None = state.Configuration(
            1, {SERVICE: service}, {}, (), {}, state.Limits()
        )
        self.unusable: set[str] = set()

    def owner(self, target: str) -> str | None:
        """Return the dispatcher of a target."""
        return f'dispatcher-of-{target}'

    def is_usable(self, target: str) -> bool:
        """Whether a target may get work."""
        return target not in self.unusable
