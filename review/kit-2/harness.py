"""Stand-ins of the platform, its servers and clients, for the cases 6 to 10.

Only the standard library. The daemons are the project's own programs, started
with the command of ``deploy/system.toml``. All addresses are loopback
addresses; each machine of the fleet has one of its own, and the ports are the
same on all machines.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'shop.example'
BEAT_S = 1.5
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not be played."""


class Journal:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


def free_ports(count, addresses):
    """Return ports that are free at all addresses."""
    found = []
    for port in random.sample(range(20000, 32000), 4000):
        opened = []
        try:
            for address in addresses:
                sock = socket.socket()
                opened.append(sock)
                sock.bind((address, port))
        except OSError:
            continue
        finally:
            for sock in opened:
                sock.close()
        found.append(port)
        if len(found) == count:
            return found
    raise NotRunError('no free ports')


async def read_head(reader):
    """Return the first line and the headers (names in lower case)."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, content = line.partition(':')
        if colon:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def response(status, body=b'', headers=()):
    head = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    head += [f'{name}: {content}' for name, content in headers]
    return '\r\n'.join(head).encode() + b'\r\n\r\n' + body


class Store:
    """The platform's metadata store: keyed topics with one partition."""

    def __init__(self):
        self._records = {}
        self._added = asyncio.Event()
        self._server = None
        self._back = asyncio.Event()
        self._back.set()

    def go_down(self):
        """Fall silent: calls get no answer, also those that are waiting."""
        self._back.clear()

    def come_back(self):
        """Answer new calls; connections from before stay silent."""
        self._back.set()

    def append(self, topic, key, content):
        name = key.encode()
        self._records.setdefault(topic, []).append(
            bytes((len(name),)) + name + content
        )
        added, self._added = self._added, asyncio.Event()
        added.set()
        return len(self._records[topic]) - 1

    async def start(self, address, port):
        self._server = await asyncio.start_server(self._serve, address, port)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not self._back.is_set():
                    break
                status, content = await self._answer(first.split()[1], body)
                await asyncio.sleep(0.004)
                if not self._back.is_set():
                    break
                writer.write(response(status, content))
                await writer.drain()
            # Nothing was done, and nothing more comes on this connection.
            await reader.read()
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            writer.transport.abort()

    async def _answer(self, target, body):
        parts = urlsplit(target)
        query = {key: got[0] for key, got in parse_qs(parts.query).items()}
        topic = query.get('topic', '')
        if parts.path == '/api/log-append':
            if topic in {'keyed.op', 'keyed.servers'}:
                return 403, b'{}'
            content = body[4:]
            size = content[0]
            key = content[1 : 1 + size].decode()
            offset = self.append(topic, key, content[1 + size :])
            return 200, json.dumps(
                {'offset': offset, 'end': offset + 1}
            ).encode()
        if parts.path == '/api/log-read':
            return await self._read(topic, query)
        if parts.path == '/api/log-newest':
            return 200, self._newest(topic)
        return 404, b'{}'

    async def _read(self, topic, query):
        start = int(query['from'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            records = self._records.get(topic, [])
            left = until - time.monotonic()
            if len(records) > start or left <= 0:
                break
            try:
                await asyncio.wait_for(self._added.wait(), left)
            except asyncio.TimeoutError:
                continue
        parts = [struct.pack('>QQ', len(records), 0)]
        parts += [struct.pack('>I', len(r)) + r for r in records[start:]]
        limit = int(query.get('max_kb', 1024)) * 1024
        while len(parts) > 2 and sum(map(len, parts)) > limit:
            parts.pop()
        return 200, b''.join(parts)

    def _newest(self, topic):
        records = self._records.get(topic, [])
        newest = {}
        for offset, content in enumerate(records):
            end = 1 + content[0]
            newest[content[1:end].decode()] = (offset, content[end:])
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        return json.dumps(
            {'items': items, 'more': False, 'end': len(records)}
        ).encode()


class AppServer:
    """An application server, which only its own machine's daemon calls.

    ``plan`` returns the service time in seconds and the body of the answer to
    a request (first line, headers, body).
    """

    def __init__(self, journal, name, service, address, port, plan, slots=4):
        self.journal = journal
        self.name = name
        self.service = service
        self.address = address
        self.port = port
        self.plan = plan
        self.slots = slots
        self.boot = 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.phase = 'ready'
        #: (time, request id, first line) of each request that began to run.
        self.runs = []
        self.ended = []
        self.cut = []
        self.control = None
        self.running = 0
        self._beating = None
        self._server = None
        self._writers = set()

    @property
    def instance(self):
        return f'i-{self.name}-{self.boot}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )

    def exit(self):
        """End the process: its listener and all connections close."""
        self.journal(f'{self.instance} exits')
        self.stop_beats()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def beat(self, control):
        self.control = control
        self._beating = asyncio.create_task(self._beat())

    def stop_beats(self):
        if self._beating is not None:
            self._beating.cancel()
            self._beating = None

    def check_in(self):
        """Return the next check-in, encoded."""
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'{self.address}:{self.port}',
                'zone': 'z',
                'version': 'v1',
                'slots': self.slots,
                'phase': self.phase,
                'cold_remaining_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            }
        ).encode()
        return (
            f'PUT /api/instances/{self.instance} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body

    def departure(self):
        body = json.dumps({'born': self.born}).encode()
        return (
            f'DELETE /api/instances/{self.instance} HTTP/1.1\r\nHost: x\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body

    async def tell(self, message):
        """Send a check-in or a departure; return the status, 0 for none."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.control)
                writer.write(message)
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                writer.close()
                return int(first.split()[1])
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return 0

    async def _beat(self):
        while True:
            await self.tell(self.check_in())
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                """Serve the next request of the connection."""
        except (asyncio.IncompleteReadError, ConnectionError):
            """The daemon has closed the connection."""
        except asyncio.CancelledError:
            """The case has ended."""
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        body = await read_body(reader, headers)
        load = ('Server-Load', f'{self.running},0,{self.slots}')
        if first.split()[1] == '/healthz':
            writer.write(
                response(200, b'', [('Instance-Id', self.instance), load])
            )
            return True
        request = headers.get('request-id', '')
        echo = ('Request-Id', request)
        expected = headers.get('expect-instance', self.instance)
        if expected != self.instance:
            writer.write(
                response(421, b'', [echo, ('Instance-Id', self.instance)])
            )
            return True
        if self.running >= self.slots:
            writer.write(response(503, b'', [echo, ('Not-Executed', '1')]))
            return True
        self.running += 1
        at = self.journal.now()
        self.runs.append((at, request, first))
        self.journal(f'run {request} begins at {self.instance}: {first}')
        try:
            work_s, content = self.plan(first, headers, body)
            limit_s = int(headers.get('deadline-ms', 60000)) / 1000
            closed = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait({closed}, timeout=min(work_s, limit_s))
            if done:
                closed.exception()
                self.cut.append((self.journal.now(), request))
                self.journal(f'run {request} cut off at {self.instance}')
                return False
            closed.cancel()
        finally:
            self.running -= 1
        try:
            await closed
        except (asyncio.CancelledError, ConnectionError):
            """No input has come, or the next write finds the reset."""
        status = 200 if work_s <= limit_s else 504
        seal = ('Response-Seal', '3e1b.07.5a2.600.0.c9f2a4d1')
        writer.write(response(status, content, [echo, seal, load]))
        self.ended.append((self.journal.now(), request))
        self.journal(f'run {request} ends at {self.instance}: {status}')
        await writer.drain()
        return True


class Machine:
    """One machine: its daemon and the server beside it."""

    def __init__(self, fleet, index, zone, region, service, plan, slots):
        self.fleet = fleet
        self.name = f'sidecar-{zone}-{index}'
        self.zone = zone
        self.region = region
        self.service = service
        self.address = f'127.0.{fleet.subnet}.{index + 1}'
        self.process = None
        self.started_at = 0.0
        ports = fleet.ports
        self.server = AppServer(
            fleet.journal,
            f'{index}',
            service,
            self.address,
            ports['app'],
            plan,
            slots,
        )

    def settings(self):
        fleet = self.fleet
        ports = fleet.ports
        lines = [
            f'node_name={self.name}',
            'role=daemon',
            'machine_class=sidecar',
            'serves=sidecar',
            f'ip={self.address}',
            f'zone={self.zone}',
            f'region={self.region}',
        ]
        for each in fleet.machines:
            line = f'zones.{each.zone}={each.region}'
            if line not in lines:
                lines.append(line)
        lines += [
            f'listen.{name}={self.address}:{ports[name]}'
            for name in ('inbound', 'outbound', 'ready', 'control')
        ]
        lines += [
            f'port_range={ports["admin"]},{ports["admin"]}',
            'seeds=',
            'bootstrap=true',
            'limits.cpu_cores=1',
            f'limits.memory_mb={fleet.memory_mb}',
            'limits.max_fds=4100',
            'limits.disk_mb=0',
            'heartbeat_ms=1500',
            f'bounds={fleet.bounds}',
            f'app_addr={self.address}:{ports["app"]}',
            f'service={self.service}',
            f'platform.address=127.0.{fleet.subnet}.250:{ports["store"]}',
            'platform.form=log',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.parts=8',
            'platform.min_ttl_ms=1000',
        ]
        return '\n'.join(lines) + '\n'

    async def start(self):
        path = self.fleet.folder / f'{self.name}.conf'
        path.write_text(self.settings())
        log = (self.fleet.folder / f'{self.name}.log').open('ab')
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables['GREENGAGEMUX_BOOT'] = str(path)
        variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.process = await asyncio.create_subprocess_exec(
            *self.fleet.command,
            cwd=ROOT,
            env=variables,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_at = self.fleet.journal.now()
        self.fleet.journal(f'{self.name} started, pid {self.process.pid}')

    def signal(self, number):
        self.fleet.journal(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def ended(self, limit_s=15):
        """Wait for the end of the process; SIGKILL after the limit."""
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.fleet.journal(f'{self.name} ended: {self.process.returncode}')

    async def ready(self):
        """Return whether the daemon answers its readiness check with 200."""
        head = b'GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, self.fleet.ports['ready']
                )
                writer.write(head + b'\r\n')
                first, _ = await read_head(reader)
                writer.close()
                return first.split()[1] == '200'
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False


BOUNDS = (
    'seed_lag_s=3,reuse_after_s=2,stability_ms=3000,ack_ms=4000,'
    'catch_up_s=4,drain_ms=2000,grace_s=6,loss_slack_ms=200,'
    'propagation_ms=2000,rollback_slack_ms=250,max_skew_ms=5000,'
    'retry_budget_ratio=0.2,budget_window_s=10,budget_slack=62,recovery_s=15,'
    'probes_per_s=3,floor_share=0.7'
)


class Fleet:
    """The store and some machines."""

    def __init__(self, journal, bounds=BOUNDS, memory_mb=300):
        self.journal = journal
        self.bounds = bounds
        self.memory_mb = memory_mb
        self.machines = []
        self.store = Store()
        self.version = 0
        self.subnet = random.randrange(2, 250)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.ports = {}
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = deploy['roles']['daemon']['run'].split(' ')

    def add(self, zone, region, service, plan, slots=4):
        if not self.ports:
            names = (
                'inbound outbound ready control admin app store'
            ).split()
            addresses = [f'127.0.{self.subnet}.{last}' for last in (1, 2, 250)]
            self.ports = dict(
                zip(names, free_ports(len(names), addresses), strict=True)
            )
        machine = Machine(
            self, len(self.machines), zone, region, service, plan, slots
        )
        self.machines.append(machine)
        return machine

    def configure(self, configuration):
        self.version += 7
        content = {'version': f'r{self.version}', **configuration}
        self.store.append(
            'keyed.op', 'config', json.dumps(content).encode()
        )
        self.journal(f'configuration r{self.version} acknowledged')

    async def start(self, limit_s=25):
        await self.store.start(
            f'127.0.{self.subnet}.250', self.ports['store']
        )
        for machine in self.machines:
            await machine.server.start()
            await machine.start()
        for machine in self.machines:
            machine.server.beat((machine.address, self.ports['control']))
        await self.all_ready(limit_s)

    async def all_ready(self, limit_s=25):
        until = time.monotonic() + limit_s
        waiting = list(self.machines)
        while waiting:
            if time.monotonic() > until:
                names = [each.name for each in waiting]
                raise NotRunError(f'not ready: {names}')
            waiting = [each for each in waiting if not await each.ready()]
            await asyncio.sleep(0.1)
        self.journal('all daemons are ready')

    async def stop(self):
        for machine in self.machines:
            machine.server.stop_beats()
            process = machine.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client saw: status 0 without an answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.problem = ''

    def __str__(self):
        size = self.headers.get('content-length', '-')
        whole = 'complete' if self.complete else f'incomplete {self.problem}'
        return f'{self.status} {len(self.body)}/{size} bytes, {whole}'


async def ask(
    machine,
    method,
    path,
    request,
    *,
    deadline_ms=2000,
    body=b'',
    read_bytes_per_s=0,
    extra=(),
):
    """Send one request on a new connection and return what came back."""
    call = Call(method, path, request, body, tuple(extra))
    found = await ask_all(machine, [call], deadline_ms, read_bytes_per_s)
    return found[0]


class Call:
    """A request to be sent."""

    def __init__(self, method, path, request, body=b'', extra=()):
        self.method = method
        self.path = path
        self.request = request
        self.body = body
        self.extra = extra

    def encode(self, deadline_ms):
        head = [
            f'{self.method} {self.path} HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {self.request}',
            f'Deadline-Ms: {deadline_ms}',
            *self.extra,
        ]
        if self.body:
            head.append(f'Content-Length: {len(self.body)}')
        return '\r\n'.join(head).encode() + b'\r\n\r\n' + self.body


async def ask_all(
    machine, calls, deadline_ms=2000, read_bytes_per_s=0, alone=0
):
    """Send requests at once on a new connection and return their answers.

    With ``read_bytes_per_s`` the client reads that slowly, over a link with
    ordinary packets and a small window. The first ``alone`` requests and the one
    after them are sent only after the answer to the one before.
    """
    journal = machine.fleet.journal
    answers = [Answer() for _ in calls]
    sock = socket.socket()
    sock.setblocking(False)
    if read_bytes_per_s:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    loop = asyncio.get_running_loop()
    begun_at = journal.now()
    for answer in answers:
        answer.sent_at = begun_at
    problem = ''
    got = b''
    place = 0
    read_bytes = 0
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 5):
            await loop.sock_connect(
                sock, (machine.address, machine.fleet.ports['outbound'])
            )
            sent = 0
            while place < len(calls):
                last = place + 1 if place < alone else len(calls)
                for call in calls[sent:last]:
                    answers[sent].sent_at = journal.now()
                    await loop.sock_sendall(sock, call.encode(deadline_ms))
                    journal(
                        f'sent {call.request} to {machine.name}:'
                        f' {call.method} {call.path}'
                    )
                    sent += 1
                size = 65536
                if read_bytes_per_s:
                    await asyncio.sleep(0.02)
                    due = (journal.now() - begun_at) * read_bytes_per_s
                    size = int(min(due - read_bytes, 65536))
                    if size <= 0:
                        continue
                data = await loop.sock_recv(sock, size)
                if not data:
                    problem = 'the connection ended'
                    break
                read_bytes += len(data)
                got += data
                while place < len(calls):
                    got = _parse(answers[place], got)
                    if not answers[place].complete:
                        break
                    answers[place].ended_at = journal.now()
                    place += 1
    except OSError as error:
        problem = f'{type(error).__name__} {error}'
    except TimeoutError:
        problem = 'no answer in time'
    finally:
        sock.close()
    for call, answer in zip(calls, answers, strict=True):
        if not answer.complete:
            answer.problem = problem
            answer.ended_at = journal.now()
        journal(
            f'answer to {call.request} at {answer.ended_at:.3f}: {answer}'
        )
    return answers


def _parse(answer, got):
    """Add received bytes to an answer; return those that follow it."""
    if not answer.status:
        end = got.find(b'\r\n\r\n')
        if end < 0:
            return got
        lines = got[:end].decode('latin-1').split('\r\n')
        answer.status = int(lines[0].split()[1])
        for line in lines[1:]:
            name, _, content = line.partition(':')
            answer.headers[name.lower()] = content.strip()
        got = got[end + 4 :]
    wanted = int(answer.headers.get('content-length', 0))
    missing = wanted - len(answer.body)
    answer.body += got[:missing]
    answer.complete = len(answer.body) == wanted
    return got[missing:]


def route(name, prefix, kind, service, timeout_ms, attempts=2, **more):
    return {
        'name': name,
        'hostname': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'target_latency_ms': timeout_ms // 2,
        'priority': 1,
        'max_attempts': attempts,
        **more,
    }


def service(name, connections=390):
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': connections,
        'protocol': 'h1',
        'tls': False,
    }


LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 1048576,
    'header_timeout_ms': 5000,
    'idle_timeout_ms': 30000,
}


def play(folder, case):
    """Run ``case(journal)``; it returns the breaches of the rule as lines."""
    journal = Journal(folder)
    status = NOT_RUN
    try:
        breaches = asyncio.run(asyncio.wait_for(case(journal), 110))
    except Exception as error:
        journal(f'the case could not run: {type(error).__name__} {error}')
        print(f'not run: {type(error).__name__} {error}')
    else:
        status = BROKEN if breaches else HELD
        for line in breaches:
            journal(f'BREACH {line}')
            print(line)
        print('rule broken' if breaches else 'rule held')
    sys.exit(status)
