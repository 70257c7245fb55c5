"""Splits long computations into turns of the event loop."""

import asyncio

_TURN_BYTES = 262_144


class LoopTurns:
    """Lets other tasks run after each bounded part of a computation."""

    def __init__(self) -> None:
        self._spent_bytes = 0

    async def spend(self, cost_bytes: int) -> None:
        """Count work as the scan of so many bytes; end the turn if it is due.

        A computation calls it between steps, each of which should take no
        longer than a turn.
        """
        self._spent_bytes += cost_bytes
        if self._spent_bytes >= _TURN_BYTES:
            self._spent_bytes = 0
            await asyncio.sleep(0)
