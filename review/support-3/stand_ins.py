"""Stand-ins of the platform, servers and clients for the scripts of a case.

They speak what PROTOCOL.md says, on loopback addresses, in one event loop.
The daemons under test are separate processes, started with the command of
deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import shlex
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = '127.0.0.1'
HOST = 'ficu95.example'
BEAT_S = 1.5
#: Bounds of a small deployment, as in the example of DEPLOY.md.
BOUNDS = (
    'seed_lag_s=3,reuse_after_s=2,stability_ms=3000,ack_ms=4000,catch_up_s=4,'
    'drain_ms=2000,grace_s=6,loss_slack_ms=200,propagation_ms=2000,'
    'rollback_slack_ms=250,max_skew_ms=5000,retry_budget_ratio=0.2,'
    'budget_window_s=10,budget_slack=62,recovery_s=15,probes_per_s=3,'
    'floor_share=0.7'
)


class CannotRun(Exception):
    """The case couldn't run; its result says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, who, what):
        self.lines.append(f'{self.now():8.3f}  {who:<12} {what}')

    def write(self, path):
        Path(path).write_text('\n'.join(self.lines) + '\n')


class Message:
    """A request or a response: its first line, headers and body."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body

    def get(self, name, default=''):
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.line.split(' ', 2)[1])


async def read_message(reader, *, response=False):
    """Return the next message, None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head[:-4].decode('latin-1').split('\r\n')
    headers = []
    for each in rest:
        name, _, value = each.partition(':')
        headers.append((name.strip(), value.strip()))
    message = Message(first, headers, b'')
    try:
        if message.get('transfer-encoding').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                message.body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        else:
            length = int(message.get('content-length') or 0)
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode(status, headers, body=b''):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's metadata store: a log of keyed topics."""

    def __init__(self):
        self.partitions = {}
        self.changed = asyncio.Condition()
        self.address = ''
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, limit=2**22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'

    async def stop(self):
        self._server.close()

    async def put(self, key, value):
        """Write a record of the operator to keyed.op."""
        name = key.encode()
        record = bytes([len(name)]) + name + value
        await self._add(('keyed.op', 0), [record])

    async def _add(self, partition, records):
        kept = self.partitions.setdefault(partition, [])
        offset = len(kept)
        kept += records
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                method, target, _ = request.line.split(' ')
                status, kind, body = await self._answer(target, request.body)
                writer.write(encode(status, [('Content-Type', kind)], body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        partition = (query.get('topic', ''), int(query.get('part', 0)))
        kept = self.partitions.setdefault(partition, [])
        json_type = 'application/json'
        if url.path == '/api/log-append':
            records = []
            while body:
                size = struct.unpack('>I', body[:4])[0]
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = await self._add(partition, records)
            reply = {'offset': offset, 'end': len(kept)}
            return 200, json_type, json.dumps(reply).encode()
        if url.path == '/api/log-read':
            start = int(query['from'])
            until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
            async with self.changed:
                while len(kept) <= start and time.monotonic() < until:
                    left = until - time.monotonic()
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except TimeoutError:
                        break
            limit = int(query.get('max_kb', 1024)) * 1024
            out = struct.pack('>QQ', len(kept), 0)
            for each in kept[start:]:
                piece = struct.pack('>I', len(each)) + each
                if len(out) > 16 and len(out) + len(piece) > limit:
                    break
                out += piece
            return 200, 'application/octet-stream', out
        if url.path == '/api/log-newest':
            newest = {}
            for offset, each in enumerate(kept):
                end = 1 + each[0]
                newest[each[1:end].decode()] = (offset, each[end:])
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value and key > unquote(query.get('after', ''))
            ]
            reply = {
                'items': items[:500],
                'more': len(items) > 500,
                'end': len(kept),
            }
            return 200, json_type, json.dumps(reply).encode()
        return 404, json_type, b'{}'


class Server:
    """An application server with some slots and a short queue.

    ``work`` is a coroutine that gets the request and its number among the
    runs of its id; it returns the body, or None to close the connection
    without an answer once the request has run.
    """

    def __init__(self, record, name, service, work, slots=4, queue=8):
        self.record, self.name, self.service = record, name, service
        self.work, self.slots, self.queue = work, slots, queue
        self.runs = []
        self.born = int(time.time() * 1000)
        self.phase = 'ready'
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._beats = None
        self._server = None
        self._tasks = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port, limit=2**22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'

    def check_in_to(self, control):
        self._beats = asyncio.ensure_future(self._check_in(control))

    async def stop(self):
        if self._beats:
            self._beats.cancel()
        self._server.close()

    async def _check_in(self, control):
        while True:
            await self.say(control)
            await asyncio.sleep(BEAT_S)

    async def say(self, control, method='PUT'):
        """Send one check-in; return its status, 0 without an answer."""
        self.sequence += 1
        body = {
            'service': self.service,
            'address': self.address,
            'zone': 'a1',
            'version': 'v1',
            'slots': self.slots,
            'phase': self.phase,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        try:
            return await asyncio.wait_for(
                call(control, method, f'/api/instances/{self.name}', body), 1
            )
        except (OSError, TimeoutError):
            return 0

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _answer(self, request):
        method, target, _ = request.line.split(' ')
        load = f'{self.running},{self.waiting},{self.slots}'
        known = [('Instance-Id', self.name), ('Server-Load', load)]
        if target == '/healthz':
            return encode(200 if self.phase == 'ready' else 503, known)
        tag = request.get('request-id')
        if not tag:
            return encode(400, [('Not-Executed', '1'), *known])
        known = [('Request-Id', tag), *known]
        expected = request.get('expect-instance')
        if expected and expected != self.name:
            return encode(421, known)
        if self.waiting >= self.queue:
            return encode(503, [('Not-Executed', '1'), *known])
        limit = time.monotonic() + int(request.get('deadline-ms') or 10**6) / 1e3
        self.waiting += 1
        try:
            await asyncio.wait_for(
                self._free.acquire(), max(0, limit - time.monotonic())
            )
        except TimeoutError:
            return encode(503, [('Not-Executed', '1'), *known])
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs.append((tag, method, target, self.record.now()))
        self.record.add(self.name, f'runs {tag}: {method} {target}')
        number = sum(run[0] == tag for run in self.runs)
        try:
            left = max(0, limit - time.monotonic())
            body = await asyncio.wait_for(self.work(request, number), left)
        except TimeoutError:
            return encode(504, [('Response-Seal', f'seal.{tag}'), *known])
        finally:
            self.running -= 1
            self._free.release()
        if body is None:
            self.record.add(self.name, f'loses the answer of {tag}')
            return None
        return encode(200, [('Response-Seal', f'seal.{tag}'), *known], body)


async def call(address, method, path, body=None):
    """Send one call on a new connection; return the status."""
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        payload = b'' if body is None else json.dumps(body).encode()
        writer.write(
            (
                f'{method} {path} HTTP/1.1\r\nHost: x\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(payload)}\r\nConnection: close\r\n\r\n'
            ).encode()
            + payload
        )
        answer = await read_message(reader)
        return answer.status if answer else 0
    finally:
        writer.close()


class Daemon:
    """One daemon of the project beside one server."""

    def __init__(self, record, folder, name, zone, server, store, **limits):
        self.record, self.folder, self.name = record, folder, name
        self.zone, self.server, self.store = zone, server, store
        self.limits = {'memory_mb': 300, 'max_fds': 4100, **limits}
        self.ports = {}
        self.process = None

    def address(self, kind):
        return f'{LOOPBACK}:{self.ports[kind]}'

    def settings(self):
        listen = ('inbound', 'outbound', 'ready', 'control')
        lines = [
            f'node_name={self.name}',
            'role=daemon',
            'machine_class=sidecar',
            'serves=sidecar',
            f'ip={LOOPBACK}',
            f'zone={self.zone}',
            'region=a',
            f'zones.{self.zone}=a',
            *(f'listen.{each}={self.address(each)}' for each in listen),
            f'port_range={self.ports["first"]},{self.ports["first"]}',
            'seeds=',
            'bootstrap=true',
            'loss_counts=false',
            'limits.cpu_share=0.86',
            'limits.cpu_cores=1',
            f'limits.memory_mb={self.limits["memory_mb"]}',
            f'limits.max_fds={self.limits["max_fds"]}',
            'limits.link_mbps=1000.0',
            'limits.disk_mb=0',
            'discovery=static',
            'entry=static',
            'heartbeat_ms=1500',
            'contracts=base,drain,config,cost,retry,recover,health,platform',
            f'bounds={BOUNDS}',
            f'app_addr={self.server.address}',
            f'service={self.server.service}',
            f'platform.address={self.store.address}',
            'platform.form=log',
            'platform.parts=8',
            'platform.keep_s=300',
        ]
        return '\n'.join(lines) + '\n'

    async def start(self):
        if not self.ports:
            kinds = ('inbound', 'outbound', 'ready', 'control', 'first')
            self.ports = dict(zip(kinds, free_ports(len(kinds)), strict=True))
        path = Path(self.folder) / f'{self.name}.conf'
        path.write_text(self.settings())
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(role['roles']['daemon']['run'])
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment |= {
            'GREENGAGEMUX_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        log = open(Path(self.folder) / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.add(self.name, 'started')

    def send_signal(self, number):
        self.record.add(self.name, f'gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def ready(self):
        try:
            status = await asyncio.wait_for(
                call(self.address('ready'), 'GET', '/api/readyz'), 1
            )
        except (OSError, TimeoutError):
            return False
        return status == 200

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def rss_mb(self):
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(x for x in text.splitlines() if x.startswith('VmRSS'))
        return int(line.split()[1]) / 1000


class Client:
    """One connection of a client, which it keeps open."""

    def __init__(self, record, name, address):
        self.record, self.name, self.address = record, name, address
        self.reader = self.writer = None

    async def connect(self):
        host, _, port = self.address.partition(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=2**22
        )

    def send(self, method, target, tag, deadline_ms, body=b'', headers=()):
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {tag}',
            f'Deadline-Ms: {deadline_ms}',
            *headers,
        ]
        if body or method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        self.record.add(self.name, f'sends {tag}: {method} {target}')

    async def receive(self, tag, limit_s):
        """Return the next answer, None if there was none in time."""
        try:
            answer = await asyncio.wait_for(read_message(self.reader), limit_s)
        except TimeoutError:
            self.record.add(self.name, f'got no answer to {tag}')
            return None
        if answer is None:
            self.record.add(self.name, f'closed without an answer to {tag}')
            return None
        seal = answer.get('response-seal') or 'none'
        self.record.add(
            self.name, f'answer to {tag}: {answer.status}, seal {seal}'
        )
        return answer

    async def ask(self, method, target, tag, deadline_ms, body=b''):
        self.send(method, target, tag, deadline_ms, body)
        return await self.receive(tag, deadline_ms / 1000 + 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()


def configuration(version, routes, services):
    """Return the encoded configuration; routes are (name, prefix, kind, ...)."""
    return json.dumps(
        {
            'version': f'r{version}',
            'routes': [
                {
                    'name': name,
                    'hostname': HOST,
                    'path_prefix': prefix,
                    'kind': kind,
                    'timeout_ms': timeout_ms,
                    'target_latency_ms': 800,
                    'priority': 1,
                    'service': service,
                    'max_attempts': 2,
                }
                for name, prefix, kind, service, timeout_ms in routes
            ],
            'services': [
                {
                    'name': name,
                    'health_path': '/healthz',
                    'max_connections': 390,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
    ).encode()


def free_ports(count):
    """Return ports that are free now, below the range for outgoing ones."""
    found = []
    start = 10000 + os.getpid() * 7 % 15000
    for port in range(start, 32000):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        if port in _TAKEN:
            continue
        _TAKEN.add(port)
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun('no free ports')


_TAKEN = set()


async def wait_until(condition, limit_s, what):
    """Wait for a coroutine function to return true."""
    until = time.monotonic() + limit_s
    while not await condition():
        if time.monotonic() > until:
            raise CannotRun(f'{what}: not within {limit_s} s')
        await asyncio.sleep(0.1)


def run_case(case, folder, trouble):
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 otherwise.

    ``case`` gets the record, a temporary folder and ``trouble``, whether the
    disruption is wanted; it returns the breaches as texts.
    """
    record = Record()
    record.add('case', f'TROUBLE={int(trouble)}')
    code = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            breaches = asyncio.run(
                asyncio.wait_for(case(record, Path(scratch), trouble), 110)
            )
            for breach in breaches:
                record.add('BROKEN', breach)
            code = 1 if breaches else 0
        except (CannotRun, TimeoutError, OSError) as error:
            record.add('case', f'could not run: {error!r}')
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for each in Path(scratch).glob('*.log'):
                (Path(keep) / each.name).write_bytes(each.read_bytes())
    record.add('case', f'exit status {code}')
    record.write(Path(folder) / 'record.txt')
    print('\n'.join(record.lines[-6:]))
    raise SystemExit(code)
