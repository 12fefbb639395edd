"""A server that has left is used again after all daemons were killed.

The server says goodbye with ``DELETE`` and gets its ack. All daemons are then
killed and start again. A check-in that the server sent before its goodbye
arrives late, and the daemons send it requests again, until it exits and takes
those that it runs with it.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'kit-2'))

import harness  # noqa: E402

SERVICE = 'depot-ledger'
DRAIN_S = 2.0
STABILITY_S = 3.0
WORK_S = 0.25
DEADLINE_MS = 2000
#: Time from the ack of the goodbye to the kill, and to the new start.
KILL_AFTER_S = float(os.environ.get('KILL_AFTER_S', '0.3'))
START_AFTER_S = 1.3
#: Time from the ack to the arrival of the late check-in.
LATE_S = 3.5
#: Time from the ack to the exit of the server.
EXIT_AFTER_S = 10.0
SEND_EVERY_S = 0.1
#: How many machines are killed, first that of the server; all by default.
KILLED = int(os.environ.get('KILLED', '3'))


def work(first, headers, body):
    return WORK_S, b'paid'


async def case(journal):
    fleet = harness.Fleet(journal)
    for zone in ('dakar-rufisque', 'dakar-pikine', 'thies-nord'):
        fleet.add(zone, zone.partition('-')[0], SERVICE, work)
    fleet.configure(
        {
            'routes': [
                harness.route(
                    'coop-payout', '/pay/', 'non_idempotent', SERVICE, 2000
                )
            ],
            'services': [harness.service(SERVICE)],
            'limits': harness.LIMITS,
        }
    )
    try:
        await fleet.start()
        await asyncio.sleep(4)
        return await leave(fleet, journal)
    finally:
        await fleet.stop()


async def leave(fleet, journal):
    answers = {}
    clients = asyncio.create_task(send_all(fleet, answers))
    leaving = fleet.machines[0].server
    leaving.stop_beats()
    late = leaving.check_in()
    journal(f'{leaving.instance} sends a check-in, which will be late')
    await asyncio.sleep(0.2)
    status = await leaving.tell(leaving.departure())
    left_at = journal.now()
    journal(f'{leaving.instance} has left; the ack is {status}')
    if status != 200:
        raise harness.NotRunError('the departure was not acknowledged')
    if harness.TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        killed = fleet.machines[:KILLED]
        for machine in killed:
            machine.signal(signal.SIGKILL)
        for machine in killed:
            await machine.process.wait()
        await asyncio.sleep(left_at + START_AFTER_S - journal.now())
        for machine in killed:
            await machine.start()
    await asyncio.sleep(left_at + LATE_S - journal.now())
    status = 0
    while not status and journal.now() < left_at + LATE_S + 1.5:
        status = await leaving.tell(late)
        await asyncio.sleep(0.1)
    journal(f'the late check-in arrives; its ack is {status}')
    if status != 200:
        raise harness.NotRunError('the late check-in was not delivered')
    await asyncio.sleep(left_at + EXIT_AFTER_S - journal.now())
    leaving.exit()
    await asyncio.sleep(1)
    clients.cancel()
    await asyncio.sleep(2)
    return list(breaches(fleet, leaving, left_at, answers))


async def send_all(fleet, answers):
    number = 0
    pending = set()
    while True:
        number += 1
        machine = fleet.machines[number % len(fleet.machines)]
        task = asyncio.create_task(send(machine, f'{number:016x}', answers))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(SEND_EVERY_S)


async def send(machine, request, answers):
    answers[request] = machine, await harness.ask(
        machine,
        'POST',
        f'/pay/{request}',
        request,
        deadline_ms=DEADLINE_MS,
        body=b'amount=1',
    )


def breaches(fleet, leaving, left_at, answers):
    cut = {request for _, request in leaving.cut}
    for at, request, _ in leaving.runs:
        if at <= left_at + DRAIN_S or request not in answers:
            continue
        sender, answer = answers[request]
        bound = (sender, fleet.machines[0])
        if any(at < each.started_at + STABILITY_S for each in bound):
            continue
        lost = ', and its run was cut off' if request in cut else ''
        yield (
            f'DRAIN: request {request} of {sender.name} reached'
            f' {leaving.instance} {at - left_at:.1f} s after the ack of its'
            f' departure{lost}; the client got {answer}'
        )


harness.play(FOLDER, case)
