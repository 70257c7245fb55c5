"""Background tasks whose failures are logged and counted."""

import asyncio
import traceback
import typing

from samphiredock.coordination import _pause
from samphiredock import logs
from samphiredock import metrics
from samphiredock import timers

RESTART_DELAY_MS = 1_000.0
"""Pause after a failed pass of a loop, which may fail again at once."""

_TRACE_LIMIT = 20
"""How many calls of a trace are logged."""

_log = logs.logger('background')

Work = typing.Coroutine[typing.Any, typing.Any, None]


def start(work: Work, name: str) -> asyncio.Task[None]:
    """Run ``work`` in a task whose failure is logged.

    The exception of a task that nobody awaits would otherwise be lost.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def start_loop(
    make_work: typing.Callable[[], Work],
    name: str,
    clock: timers.Timers,
    counters: metrics.Metrics,
) -> asyncio.Task[None]:
    """Run endless work in a task until that is cancelled.

    If it raises, which it never should, the exception is logged and counted,
    and the work begins anew after a pause: the daemon would otherwise run on
    without it and look healthy.

    Parameters
    ----------
    make_work
        Returns the work, to be run from its beginning.
    name
        Names the task in the log and in the counter ``background_failures``.
    clock, counters
        The timers and metrics of this daemon.
    """

    async def run() -> None:
        while True:
            try:
                await make_work()
            except Exception as error:
                report(error, name, counters)
            await _pause.pause(clock, RESTART_DELAY_MS)

    return start(run(), name)


def report(error: BaseException, name: str, counters: metrics.Metrics) -> None:
    """Log an unexpected exception with its trace, and count it."""
    counters.add('background_failures', task=name)
    trace = traceback.format_exception(error, limit=-_TRACE_LIMIT)
    _log.error('task failed', task=name, why=repr(error), trace=''.join(trace))


def report_callback_failures(
    loop: asyncio.AbstractEventLoop, counters: metrics.Metrics
) -> None:
    """Report the exceptions of timers, protocols and unawaited tasks."""

    def handle(
        loop: asyncio.AbstractEventLoop, context: dict[str, typing.Any]
    ) -> None:
        error = context.get('exception') or RuntimeError(context['message'])
        report(error, 'event loop', counters)

    loop.set_exception_handler(handle)


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.error('task failed', task=task.get_name(), why=repr(error))
