"""A planned restart cuts off downloads that slow clients are still reading.

The client's machine gets SIGTERM while its clients read answers that the
server has finished. Each answer is small enough, and each client fast enough,
for the whole answer to arrive within the grace period and the time budget.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit-2'))

import harness  # noqa: E402

#: The largest answer of ``album-zip`` in the site file (``max``).
ANSWER_BYTES = 540_000
#: Requests of one connection; the client sends them without waiting.
REQUESTS = 7
CONNECTIONS = 2
#: All answers of a connection take 5 s at this rate (6 Mbit/s).
READ_BYTES_PER_S = 750_000
WORK_S = 0.3
#: Time from the requests to SIGTERM; all runs have ended by then.
SIGTERM_AFTER_S = 0.9
DEADLINE_MS = 15_000
#: ``grace_s`` of the site; the rule counts until a second later.
GRACE_S = 6.0

BOUNDS = harness.BOUNDS.replace('drain_ms=2000', 'drain_ms=3000').replace(
    'propagation_ms=2000', 'propagation_ms=3000'
)


def work(first, headers, body):
    content = bytes(65 + each % 26 for each in range(1000))
    return WORK_S, content * (ANSWER_BYTES // 1000)


async def case(journal):
    fleet = harness.Fleet(journal, BOUNDS, memory_mb=200)
    for zone in ('sk-west-a', 'sk-west-b', 'sk-east-a'):
        fleet.add(zone, zone[:-2], 'archive', work, slots=6)
    fleet.configure(
        {
            'routes': [
                harness.route(
                    'album-zip', '/zip/', 'download', 'archive', DEADLINE_MS
                )
            ],
            'services': [harness.service('archive', 1500)],
            'limits': harness.LIMITS,
        }
    )
    try:
        await fleet.start()
        await asyncio.sleep(4)
        return await restart_during_downloads(fleet, journal)
    finally:
        await fleet.stop()


async def restart_during_downloads(fleet, journal):
    machine = fleet.machines[0]
    batches = [
        [
            harness.Call('GET', f'/zip/{at}-{number}', f'{at:08x}{number:08x}')
            for number in range(REQUESTS)
        ]
        for at in range(CONNECTIONS)
    ]
    clients = [
        asyncio.create_task(
            harness.ask_all(machine, batch, DEADLINE_MS, READ_BYTES_PER_S)
        )
        for batch in batches
    ]
    await asyncio.sleep(SIGTERM_AFTER_S)
    ended = {
        request for each in fleet.machines for _, request in each.server.ended
    }
    if len(ended) < REQUESTS * CONNECTIONS:
        raise harness.NotRunError(f'only {len(ended)} runs have ended')
    stopped_at = journal.now()
    if harness.TROUBLE:
        machine.signal(signal.SIGTERM)
        await machine.ended()
        await machine.start()
    breaches = []
    for batch, answers in zip(batches, await asyncio.gather(*clients)):
        for call, answer in zip(batch, answers):
            used_ms = 1000 * (answer.ended_at - answer.sent_at)
            excused = used_ms >= DEADLINE_MS or answer.ended_at > (
                stopped_at + GRACE_S + 1
            )
            if not answer.complete and not excused:
                breaches.append(
                    f'LOST: request {call.request} was run, and its'
                    f' connection ended after {used_ms:.0f} ms: {answer}'
                )
    return breaches


harness.play(FOLDER, case)
