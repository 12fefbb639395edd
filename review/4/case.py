"""A leaving server is used after its daemon restarted; see ``claim.txt``."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.kit.fleet import (  # noqa: E402
    DRAIN_S,
    STABILITY_S,
    Fleet,
    run_case,
    trouble,
)

#: How late the check-in arrives that was on its way when the server left.
LATE_S = 2.0
#: How long the server serves after its ``DELETE``.
SERVES_S = 12.0


async def case(record):
    fleet = Fleet(record, lambda request: 0.1)
    try:
        await fleet.start()
        await fleet.warm_up()
        await asyncio.sleep(3.5)
        traffic = asyncio.create_task(clients(fleet))
        await asyncio.sleep(1)
        first = fleet.daemons[0]
        server = first.upstream
        if trouble():
            await restart(fleet, first)
        # The check-in that was due; in trouble it arrives late.
        await server.end_beats()
        body = server.announcement()
        if not trouble():
            await server.check_in(body)
        acked = await server.leave()
        left_at = record('left', id=server.ident, ack=acked)
        if trouble():
            await asyncio.sleep(LATE_S)
            record('late-check-in', ack=await server.check_in(body), **body)
        await asyncio.sleep(left_at + SERVES_S - record.now())
        traffic.cancel()
        return verdict(record, server, left_at, first.started_at)
    finally:
        await fleet.stop()


async def restart(fleet, daemon):
    """Stop a daemon as the platform does and start it again."""
    await daemon.upstream.end_beats()
    daemon.signal(signal.SIGTERM)
    await asyncio.wait_for(fleet.reap(daemon.process), 8)
    daemon.start()
    await daemon.wait_ready()


async def clients(fleet):
    """Send reads and writes at each daemon that is ready."""
    pending = set()
    number = 0
    while True:
        for daemon in fleet.daemons:
            number += 1
            kind, method = ('read', 'GET') if number % 2 else ('write', 'POST')
            task = asyncio.create_task(
                fleet.send(daemon, method, f'/{kind}-orders/{number}')
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.sleep(0.1)


def verdict(record, server, left_at, started_at):
    # By then the restarted daemon is in touch again; the others always were.
    since = max(left_at + DRAIN_S, started_at + STABILITY_S)
    sent = {
        fields['request']: (at, fields['daemon'])
        for at, fields in record.of('sent')
    }
    late = [
        fields['request'] for at, fields in record.of('run')
        if fields['id'] == server.ident and sent[fields['request']][0] > since
    ]
    record('late-runs', count=len(late), since=round(since, 3))
    if not late:
        return []
    return [
        f'DRAIN: {len(late)} requests, sent more than {DRAIN_S} s after the'
        f' acknowledged DELETE of {server.ident}, reached it'
    ]


if __name__ == '__main__':
    run_case(FOLDER, case)
