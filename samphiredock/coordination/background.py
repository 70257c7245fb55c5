"""Background tasks whose failures are logged."""

import asyncio
import typing

from samphiredock import logs

_log = logs.logger('background')


def start(
    work: typing.Coroutine[typing.Any, typing.Any, None], name: str
) -> asyncio.Task[None]:
    """Run ``work`` in a task whose failure is logged.

    The exception of a task that nobody awaits would otherwise be lost, and
    the daemon would run on without that task.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.error('task failed', task=task.get_name(), why=repr(error))
