"""Fault switches and service times of the target stand-in."""

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
    """Fault switches of one target.

    ``service_ms`` is the median and ``sigma`` the shape of the log-normal
    service time of an item, ``straggler`` the share of items that take ten
    times as long.  ``cold`` refuses items as not loaded,
    ``cold_answers_empty`` answers them without records or key range,
    ``cross_answers`` exchanges the ids of answers, ``lie_healthy`` reports
    health whatever else is set, and ``swallow_answers`` is the number of
    answers to withhold.
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
        """Return a random service time in ms."""
        if not self.service_ms:
            return 0.0
        took_ms = self.service_ms * randomness.lognormvariate(0.0, self.sigma)
        if randomness.random() < self.straggler:
            took_ms *= _STRAGGLER_FACTOR
        return took_ms

    def die_if_poisoned(self, values: typing.Iterable[str]) -> None:
        """Kill this process if a value is the poison term."""
        if self.poison_term in values:
            os.kill(os.getpid(), signal.SIGKILL)

    def swap_answer_ids(
        self, answers: list[protocol.TargetAnswer]
    ) -> list[protocol.TargetAnswer]:
        """Return the answers, with their ids exchanged if switched on."""
        if not self.cross_answers:
            return answers
        ids = [answer.attempt_id for answer in answers]
        others = ids[1:] + ids[:1] if len(ids) > 1 else ['someone-else']
        return [
            msgspec.structs.replace(answer, attempt_id=other)
            for answer, other in zip(answers, others)
        ]

    async def swallow(self) -> None:
        """Wait forever if this answer is to be withheld."""
        if self.swallow_answers > 0:
            self.swallow_answers -= 1
            await asyncio.Event().wait()


async def hang_while(is_hanging: typing.Callable[[], bool]) -> None:
    """Wait as long as ``is_hanging`` returns True."""
    while is_hanging():
        await asyncio.sleep(_HANG_STEP_S)
