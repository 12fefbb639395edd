"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import socket
from dataclasses import dataclass, field

LOOPBACK = '127.0.0.1'


@dataclass
class Request:
    method: str
    target: str
    headers: dict
    body: bytes
    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader


@dataclass
class Reply:
    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b''


class ClosedEarly(Exception):
    """The connection ended before a complete message."""


async def read_head(reader):
    """Return the start line and the headers, or None at a clean end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ClosedEarly('within the head') from error
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, sep, content = line.partition(':')
        if sep:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            chunks = []
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                if size:
                    chunks.append(await reader.readexactly(size))
                await reader.readline()
                if not size:
                    return b''.join(chunks)
        return await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise ClosedEarly('within the body') from error


def encode(reply):
    lines = [f'HTTP/1.1 {reply.status} X']
    lines += [f'{name}: {content}' for name, content in reply.headers.items()]
    lines.append(f'Content-Length: {len(reply.body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + reply.body


class HttpServer:
    """Serves ``handle(request) -> Reply | None``; None sends no answer."""

    def __init__(self, handle, port=0):
        self._handle = handle
        self.port = port
        self._server = None
        self.writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, reuse_address=True, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, abort=True):
        """Close the listener and, with ``abort``, all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if abort:
            for writer in tuple(self.writers):
                writer.transport.abort()

    @property
    def listening(self):
        return self._server is not None

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                reply = await self._handle(
                    Request(method, target, headers, body, writer, reader)
                )
                if reply is None:
                    return
                writer.write(encode(reply))
                await writer.drain()
        except (ClosedEarly, ConnectionError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, target, headers=None, body=b'', limit_s=30):
    """Send one request on a new connection and return its ``Reply``.

    Raises ``ClosedEarly``, ``ConnectionError`` or ``TimeoutError``.
    """
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            lines = [f'{method} {target} HTTP/1.1']
            given = {'Host': 'x', **(headers or {})}
            lines += [f'{name}: {content}' for name, content in given.items()]
            if body or method in {'POST', 'PUT'}:
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ClosedEarly('no answer')
            status = int(head[0].split(' ')[1])
            content = await read_body(reader, head[1])
            return Reply(status, head[1], content)
        finally:
            writer.close()
