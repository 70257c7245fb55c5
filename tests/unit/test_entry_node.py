"""Tests of the shutdown of an entry daemon, as its callers see it."""

import asyncio
import os
import pathlib
import sys
import unittest
from unittest import mock

from samphiredock.daemon import _entry_node
from samphiredock import logs
from samphiredock import protocol
from samphiredock import state
from samphiredock import transport
from standins import cluster

_FOLDER = pathlib.Path(__file__).parents[2] / 'platform'
sys.path.append(str(_FOLDER))

import prepared_hosts  # noqa: E402

_HANG_GUARD_S = 20.0


class _FakeForwarding:
    """Leaves requests to the test, and reports the count that it sets."""

    def __init__(self) -> None:
        self.received = asyncio.Event()
        self.replies: asyncio.Queue[protocol.HttpReply] = asyncio.Queue()

        self.open = 0

    def open_requests(self) -> int:
        """Return the count set by the test."""
        return self.open

    async def handle(self, *request: object) -> protocol.HttpReply:
        """Return the test's reply once there is one."""
        self.received.set()
        return await self.replies.get()


class EntryNodeTest(unittest.IsolatedAsyncioTestCase):
    """One node without the platform's store."""

    async def asyncSetUp(self) -> None:
        """Start it with requests that are answered by the test."""
        caller, ready, peer, store = (
            f'127.0.0.1:{port}' for port in cluster.free_ports(4)
        )
        self.address = caller
        self.forwarding = _FakeForwarding()
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        # The servers close half a second after the signal, which leaves
        # pending requests the rest of the stop limit.
        self.enterContext(
            mock.patch.object(_entry_node, '_EARLY_CLOSE_MS', 59_000.0)
        )
        self.node = _entry_node.EntryNode(
            state.EntrySettings(
                'one', 'here', caller, ready, store, peer,
                stop_limit_s=60.0, balancer_lag_ms=0,
            ),
            prepared_hosts.PreparedHosts(),
            logs.BoundedStream(descriptor),
        )  # fmt: skip
        forwarding = self.node._forwarding
        self.enterContext(
            mock.patch.multiple(
                forwarding,
                open_requests=self.forwarding.open_requests,
                handle=self.forwarding.handle,
            )
        )
        await self.node.start()

    async def test_request_read_at_closing_has_the_time_left(
        self,
    ) -> None:
        """The caller gets its reply though the node counts no open request.

        Its request is read just when the node finds itself idle and closes
        the servers.  Its connection must stay open, as nearly all of the stop
        limit is left.
        """
        host, _, port = self.address.partition(':')
        reader, writer = await asyncio.open_connection(host, port)
        self.addCleanup(writer.close)
        writer.write(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        async with asyncio.timeout(_HANG_GUARD_S):
            await self.forwarding.received.wait()
            self.node.on_signal()
            stop_task = asyncio.create_task(self.node.wait_stopped())
            await self._until_refused(host, int(port))
            await asyncio.sleep(2.0 * transport.CLOSE_TIMEOUT_MS / 1000.0)
            self.forwarding.replies.put_nowait(protocol.HttpReply(207))
            reply = await reader.read()
            await stop_task
        self.assertIn(b' 207 ', reply)

    async def test_constant_requests_do_not_use_up_the_stop_time(
        self,
    ) -> None:
        """The servers close early enough to answer all requests read.

        Callers that ignore the balancer keep a request open at any moment, so
        that the node is never idle.
        """
        self.forwarding.open = 1
        host, _, port = self.address.partition(':')
        async with asyncio.timeout(_HANG_GUARD_S):
            self.node.on_signal()
            stop_task = asyncio.create_task(self.node.wait_stopped())
            await self._until_refused(host, int(port))
            await stop_task

    async def _until_refused(self, host: str, port: int) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                return
            writer.close()
            await asyncio.sleep(0.005)
