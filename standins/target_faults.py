"""The fault switches of the target stand-in, and its service times."""

import asyncio
import os
import random
import signal
import typing

import msgspec

from samphiredock import protocol

_STRAGGLER_FACTOR = 10.0
_HANG_STEP_S = 0.02


class Faults(msgspec.Struct):
    """What this target does wrong.

    ``service_ms`` is the median of a log-normal service time of an item,
    ``straggler`` the part of items that take ten times as long.
    """

    service_ms: float = 0.0
    sigma: float = 0.3
    straggler: float = 0.0
    hang: bool = False
    draining: bool = False
    lie_healthy: bool = False
    cold: bool = False
    cold_answers_empty: bool = False
    truncate: bool = False
    cross_answers: bool = False
    shed: bool = False
    wrong_snapshot: bool = False
    poison_term: str = ''
    swallow_answers: int = 0

    def draw_service_ms(self, randomness: random.Random) -> float:
        """Return how long an item takes."""
        if not self.service_ms:
            return 0.0
        took_ms = self.service_ms * randomness.lognormvariate(0.0, self.sigma)
        if randomness.random() < self.straggler:
            took_ms *= _STRAGGLER_FACTOR
        return took_ms

    def die_if_poisoned(self, values: typing.Iterable[str]) -> None:
        """Kill this process if the content has the poison term."""
        if self.poison_term in values:
            os.kill(os.getpid(), signal.SIGKILL)

    def swap_answer_ids(
        self, answers: list[protocol.TargetAnswer]
    ) -> list[protocol.TargetAnswer]:
        """Return the answers, under each other's ids if told so."""
        if not self.cross_answers:
            return answers
        ids = [answer.attempt_id for answer in answers]
        others = ids[1:] + ids[:1] if len(ids) > 1 else ['someone-else']
        return [
            msgspec.structs.replace(answer, attempt_id=other)
            for answer, other in zip(answers, others)
        ]

    async def swallow(self) -> None:
        """Never return, if this answer is one to be swallowed."""
        if self.swallow_answers > 0:
            self.swallow_answers -= 1
            await asyncio.Event().wait()


async def hang_while(is_told: typing.Callable[[], bool]) -> None:
    """Wait as long as the target hangs."""
    while is_told():
        await asyncio.sleep(_HANG_STEP_S)
