"""Tasks that run beside the requests."""

import asyncio
import typing

from samphiredock import logs

_log = logs.logger('background')


def start(
    work: typing.Coroutine[typing.Any, typing.Any, None], name: str
) -> asyncio.Task[None]:
    """Run ``work`` in a task whose failure is logged.

    The failure of a task that nobody awaits is silent: a daemon would go on
    and never again learn what that task was to tell it.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_note_failure)
    return task


def _note_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.error('task failed', task=task.get_name(), why=repr(error))
