"""An aiohttp application in its own thread, for blocking clients."""

import asyncio
import threading

from aiohttp import web


class HttpThread:
    """Serves an application on loopback, at ``url``, until closed."""

    def __init__(self, app: web.Application) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._runner = web.AppRunner(app, access_log=None)
        start = asyncio.run_coroutine_threadsafe(self._start(), self._loop)
        self.url = f'http://127.0.0.1:{start.result()}'

    async def _start(self) -> int:
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        return self._runner.addresses[0][1]

    def close(self) -> None:
        """Stop serving and end the thread."""
        cleanup = self._runner.cleanup()
        asyncio.run_coroutine_threadsafe(cleanup, self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
