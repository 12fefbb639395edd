"""A TCP proxy that can make its open connections silent."""

import asyncio

from .http1 import LOOPBACK


class Proxy:
    """Forwards connections to a port; open ones can be made silent."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = 0
        self._links = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        for link in tuple(self._links):
            link.abort()

    def silence(self):
        """Carry no byte and no end on the connections that are open now."""
        for link in self._links:
            link.silent = True

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link(writer, far_writer)
        self._links.add(link)
        await asyncio.gather(
            link.carry(reader, far_writer), link.carry(far_reader, writer)
        )
        if link.silent:
            # Both ends stay open until the proxy stops.
            await link.ended.wait()
        self._links.discard(link)
        link.abort()


class _Link:
    def __init__(self, near, far):
        self._ends = (near, far)
        self.silent = False
        self.ended = asyncio.Event()

    def abort(self):
        self.ended.set()
        for writer in self._ends:
            writer.transport.abort()

    async def carry(self, reader, writer):
        try:
            while True:
                chunk = await reader.read(65536)
                if self.silent:
                    return
                if not chunk:
                    break
                writer.write(chunk)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except ConnectionError:
            if not self.silent:
                self.abort()
