"""Tests of the replies to operators' calls when the daemon stops."""

import asyncio
import types
import typing
import unittest

from returns import result

from samphiredock.coordination.config import _accept
from samphiredock.daemon import _operator_handler
from samphiredock import metrics
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport
from standins import memory_hosts
from tests.unit import base_files

_Kind = protocol.OperatorErrorKind


class _UnresponsiveStore:
    """A store that never replies to the given kinds of calls."""

    def __init__(self, *silent: str) -> None:
        self.silent = silent
        self.calls: list[str] = []

    async def get(self, key: str) -> result.Result:
        """Fail with NOT_FOUND."""
        return await self._call('get', transport.StoreErrorKind.NOT_FOUND)

    async def put(self, key: str, value: bytes, version: int) -> object:
        """Fail with UNAVAILABLE."""
        return await self._call('put', transport.StoreErrorKind.UNAVAILABLE)

    async def _call(
        self, name: str, kind: transport.StoreErrorKind
    ) -> result.Result:
        self.calls.append(name)
        if name in self.silent:
            await asyncio.get_running_loop().create_future()
        return result.Failure(transport.StoreError(kind, name))


class OperatorHandlerTest(unittest.IsolatedAsyncioTestCase):
    """The daemon stops while a call waits for the store."""

    def _make(self, *silent: str) -> _operator_handler.OperatorHandler:
        self.store = _UnresponsiveStore(*silent)
        counters = metrics.Metrics('test')
        self.addCleanup(counters.close)
        current_state = types.SimpleNamespace(source=None)
        acceptor = _accept.Acceptor(
            self.store, current_state, memory_hosts.SteppedTimers(), counters
        )
        components = types.SimpleNamespace(
            acceptor=acceptor,
            configuration=types.SimpleNamespace(targets={'desk-1': None}),
            signs=types.SimpleNamespace(
                set_leaving=lambda name, leaving: self.store.put('', b'', 0)
            ),
            quarantine=types.SimpleNamespace(
                entries=lambda: [],
                release=lambda name: self.store.put('', b'', 0),
            ),
        )
        return _operator_handler.OperatorHandler(
            typing.cast(typing.Any, components),
            typing.cast(state.Settings, None),
            lambda: True,
        )

    async def _stop_during(
        self,
        handler: _operator_handler.OperatorHandler,
        call: typing.Coroutine,
        store_call: str,
    ) -> object:
        """Stop the daemon when the store has the call; return the outcome."""
        task = asyncio.create_task(call)
        while store_call not in self.store.calls:
            await asyncio.sleep(0)
        self.assertEqual(1, handler.open_calls())
        handler.finish_all()
        outcome = await task
        self.assertEqual(0, handler.open_calls())
        return outcome

    def _change(self, repeated: bool = False) -> protocol.ConfigurationChange:
        return protocol.ConfigurationChange(
            0, 'mine', 'operator', base_files.example_base(), {}, repeated
        )

    def test_every_error_of_a_call_has_a_meaning(self) -> None:
        """An operator got an internal error for an unreadable store."""
        of_watches = {
            transport.StoreErrorKind.FORGOTTEN,
            transport.StoreErrorKind.ROLLED_BACK,
        }
        self.assertEqual(
            set(transport.StoreErrorKind) - of_watches,
            set(_operator_handler._STORE_ERRORS),
        )

    async def test_change_not_written(self) -> None:
        """A change that waits for a read is not made, now or later."""
        handler = self._make('get')
        ended = await self._stop_during(
            handler, handler.apply(self._change()), 'get'
        )
        self.assertIsInstance(ended, protocol.ChangeUnavailable)
        await asyncio.sleep(0)
        self.assertEqual(['get'], self.store.calls)

    async def test_change_perhaps_written(self) -> None:
        """A write already sent may take effect."""
        handler = self._make('put')
        ended = await self._stop_during(
            handler, handler.apply(self._change()), 'put'
        )
        self.assertIsInstance(ended, protocol.ChangeUnknown)

    async def test_change_tried_before(self) -> None:
        """An earlier call with the same change may have taken effect."""
        handler = self._make('get')
        change = self._change(repeated=True)
        ended = await self._stop_during(handler, handler.apply(change), 'get')
        self.assertIsInstance(ended, protocol.ChangeUnknown)

    async def test_writes_that_wait(self) -> None:
        """Other writes already sent may take effect as well."""
        for make in (
            lambda handler: handler.set_leaving('desk-1', True),
            lambda handler: handler.release('f'),
        ):
            handler = self._make('put')
            ended = await self._stop_during(handler, make(handler), 'put')
            self.assertIs(_Kind.UNKNOWN, ended.failure().kind)

    async def test_calls_after_the_stop(self) -> None:
        """Later calls are refused without a call to the store."""
        handler = self._make()
        handler.finish_all()
        changed = await handler.apply(self._change())
        self.assertIsInstance(changed, protocol.ChangeUnavailable)
        for ended in (
            await handler.set_leaving('desk-1', True),
            await handler.release('f'),
            await handler.history(),
        ):
            self.assertIs(_Kind.UNAVAILABLE, ended.failure().kind)
        self.assertEqual([], self.store.calls)
