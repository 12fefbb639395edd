"""A server some of whose workers are broken for seconds; see ``claim.txt``."""

import asyncio
import signal
import sys
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.kit.fleet import HOST, Fleet, run_case, trouble  # noqa: E402
from review.kit.http1 import LOOPBACK, Reply, read_body, read_head  # noqa: E402

TIMEOUT_MS = 2000
#: The server deals its requests to so many workers in turn.
WORKERS = 12
BROKEN = 3
GREY_S = 8.5
#: Time with as many requests before and after.
CALM_S = 3.0


class Workers:
    """Some workers of a server fail at once while it is grey."""

    def __init__(self, upstream):
        self._upstream = upstream
        self._serve = upstream.server._handle
        upstream.server._handle = self.handle
        self.grey = False
        self.failed = 0
        self._turn = 0

    def recover(self):
        self.grey = False
        self._upstream.record('grey-over')

    async def handle(self, request):
        if '/load' not in request.target:
            return await self._serve(request)
        ident = request.headers.get('request-id', '')
        worker = self._turn % WORKERS
        self._turn += 1
        if not self.grey or worker < WORKERS - BROKEN:
            return await self._serve(request)
        self.failed += 1
        self._upstream.record(
            'run', request=ident, server=self._upstream.name, worker=worker,
            target=request.target, failed=1,
        )
        sealed = {'Request-Id': ident, 'Response-Seal': f'seal-{ident}'}
        return Reply(500, sealed, b'worker is broken')


async def client(fleet, daemon, until):
    """Send reads, one after the other, on a kept connection."""
    sent = 0
    reader, writer = await asyncio.open_connection(LOOPBACK, daemon.outbound)
    while fleet.record.now() < until:
        ident = uuid.uuid4().hex[:16]
        fleet.record('sent', request=ident, daemon=daemon.name, method='GET')
        writer.write(
            f'GET /read-solo/load HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: {ident}\r\nDeadline-Ms: 2000\r\n\r\n'.encode()
        )
        try:
            async with asyncio.timeout(5):
                line, headers = await read_head(reader)
                await read_body(reader, headers)
        except TimeoutError:
            fleet.record('answered', request=ident, status=0, how='none')
            break
        sent += 1
        fleet.record('answered', request=ident, status=line.split(' ')[1])
    writer.close()
    return sent


async def case(record):
    fleet = Fleet(
        record,
        lambda request: 3.0 if 'long' in request.target else 0.002,
        ('solo', 'orders', 'orders', 'orders'),
        TIMEOUT_MS,
    )
    try:
        await fleet.start()
        await fleet.warm_up()
        first = fleet.daemons[0]
        workers = Workers(first.upstream)
        await asyncio.sleep(1)
        await client(fleet, first, record.now() + CALM_S)
        workers.grey = trouble()
        begun = record('grey', on=int(workers.grey))
        asyncio.get_running_loop().call_later(GREY_S, workers.recover)
        sent = await client(fleet, first, begun + GREY_S)
        record('load-over', sent=sent, failed=workers.failed)
        await client(fleet, first, record.now() + CALM_S)
        return await verdict(fleet, record, first)
    finally:
        await fleet.stop()


async def verdict(fleet, record, first):
    broken = []
    unanswered = [
        fields['request'] for _, fields in record.of('answered')
        if fields.get('how') == 'none'
    ]
    if unanswered:
        broken.append(
            f'CONFIG: {len(unanswered)} requests have no answer 3 s after their'
            " route's timeout_ms; no other was unanswered then"
        )
    for number in (1, 2):
        fleet.extra_routes.append(
            {
                'name': f'new-{number}',
                'hostname': HOST,
                'path_prefix': f'/new-{number}/',
                'kind': 'idempotent',
                'timeout_ms': 2000,
                'target_latency_ms': 800,
                'priority': 1,
                'service': 'orders',
                'max_attempts': 2,
            }
        )
        await fleet.configure()
        await asyncio.sleep(4)
    for daemon in fleet.daemons:
        sent = [
            await fleet.send(daemon, 'GET', f'/new-2/{at}') for at in range(5)
        ]
        missing = sum(status == 404 for _, status in sent)
        if missing:
            broken.append(
                f'CONFIG: {missing} of 5 requests at {daemon.name} get 404 4 s'
                ' after the ack of the version with their route'
            )
    first.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(fleet.reap(first.process), 6)
        record('daemon-ended', daemon=first.name)
    except TimeoutError:
        record('daemon-runs-after-grace', daemon=first.name)
    return broken


if __name__ == '__main__':
    run_case(FOLDER, case)
