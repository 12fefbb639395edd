"""An application server of the platform, as its pages describe one."""

import asyncio
import json
import time
import uuid

from .http1 import ClosedEarly, HttpServer, Reply, call

HEARTBEAT_S = 1.5


class Upstream:
    """One server beside one daemon; ``record(kind, **fields)`` logs its runs.

    ``work_s(request)`` gives the service time of a request. A request whose
    target holds ``crash_word`` ends the process ``crash_after_s`` after its
    start, whether or not its connection is still open.
    """

    def __init__(self, name, service, record, work_s, slots=4, port=0):
        self.name = name
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.record = record
        self.crash_word = ''
        self.crash_after_s = 0.0
        self.restart_after_s = 2.0
        self.control_port = 0
        #: Address that the daemon was given, if it isn't that of the server.
        self.app_port = 0
        self.server = HttpServer(self._handle, port)
        self.phase = 'ready'
        self.beating = False
        self.up = False
        self._running = 0
        self._slot_free = asyncio.Condition()
        self._beats = None
        self._tasks = set()

    async def start(self, ident=None):
        """Begin a new boot, by default with a new id."""
        self.ident = ident or f'i-{uuid.uuid4().hex[:10]}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._running = 0
        self.phase = 'ready'
        await self.server.start()
        self.up = True
        self.record('server-up', server=self.name, id=self.ident)

    def begin_beats(self):
        self.beating = True
        self._beats = asyncio.create_task(self._beat())

    async def end_beats(self):
        self.beating = False
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def crash(self):
        """End the process: its sockets close, its runs end."""
        self.up = False
        self.record('server-crashed', server=self.name, id=self.ident)
        await self.server.stop()

    def announcement(self, phase=None):
        """Return the body of the next check-in."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.app_port or self.server.port}',
            'zone': 'z',
            'version': 'v1',
            'slots': self.slots,
            'phase': phase or self.phase,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def check_in(self, body=None, ident=None):
        """Send a check-in; return whether it was acknowledged in a second."""
        body = body or self.announcement()
        try:
            reply = await call(
                self.control_port,
                'PUT',
                f'/api/instances/{ident or self.ident}',
                {'Content-Type': 'application/json'},
                json.dumps(body).encode(),
                limit_s=1,
            )
        except (OSError, ClosedEarly, TimeoutError):
            return False
        return 200 <= reply.status < 300

    async def leave(self):
        """Send the ``DELETE`` of a server that goes; return if acknowledged."""
        try:
            reply = await call(
                self.control_port,
                'DELETE',
                f'/api/instances/{self.ident}',
                {'Content-Type': 'application/json'},
                json.dumps({'born': self.born}).encode(),
                limit_s=1,
            )
        except (OSError, ClosedEarly, TimeoutError):
            return False
        return 200 <= reply.status < 300

    async def _beat(self):
        while True:
            if self.up and self.beating:
                await self.check_in()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request):
        ident = request.headers.get('request-id', '')
        echo = {'Request-Id': ident, 'Server-Load': f'{self._running},0,{self.slots}'}
        if request.target == '/healthz':
            return Reply(200, {'Instance-Id': self.ident}, b'')
        expected = request.headers.get('expect-instance', self.ident)
        if expected != self.ident:
            return Reply(421, {**echo, 'Instance-Id': self.ident}, b'')
        budget_s = int(request.headers.get('deadline-ms', 60000)) / 1000
        begun = time.monotonic()
        async with self._slot_free:
            try:
                await asyncio.wait_for(
                    self._slot_free.wait_for(
                        lambda: self._running < self.slots
                    ),
                    budget_s,
                )
            except TimeoutError:
                return Reply(503, {**echo, 'Not-Executed': '1'}, b'')
            self._running += 1
        boot = self.born
        self.record(
            'run',
            request=ident,
            server=self.name,
            id=self.ident,
            target=request.target,
            deadline_ms=request.headers.get('deadline-ms', ''),
            caller=request.headers.get('caller-service', ''),
        )
        if self.crash_word and self.crash_word in request.target:
            asyncio.get_running_loop().call_later(
                self.crash_after_s, self._crash_soon, boot
            )
            # Its run ends only with the process.
            await asyncio.sleep(3600)
        left_s = budget_s - (time.monotonic() - begun)
        work_s = self.work_s(request)
        try:
            ended = await self._work(request, min(work_s, left_s))
        finally:
            if boot == self.born:
                async with self._slot_free:
                    self._running -= 1
                    self._slot_free.notify_all()
        if not ended:
            self.record('run-dropped', request=ident, server=self.name)
            return None
        sealed = {**echo, 'Response-Seal': f'seal-{ident}'}
        if work_s > left_s:
            self.record('run-ended', request=ident, server=self.name, status=504)
            return Reply(504, sealed, b'')
        self.record('run-ended', request=ident, server=self.name, status=200)
        return Reply(200, sealed, f'{self.name} {ident}'.encode())

    async def _work(self, request, for_s):
        """Work; return False if the connection closes meanwhile."""
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            if request.reader.at_eof() or request.writer.is_closing():
                return False
            await asyncio.sleep(min(0.02, max(0, end - time.monotonic())))
        return True

    def _crash_soon(self, boot):
        if not self.up or boot != self.born:
            return
        # Another request may be about to end this boot too.
        self.up = False
        task = asyncio.create_task(self._crash_and_restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _crash_and_restart(self):
        await self.crash()
        await asyncio.sleep(self.restart_after_s)
        await self.start()
        if self.beating:
            await self.check_in()
