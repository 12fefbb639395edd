"""GONE: clients that leave just after they have sent a large request.

Not one of the cases 6 to 10; see ../REPORT-2.md. A cancel between two daemons
is shorter than one fragment and overtakes the request, which is sent in
fragments; the other daemon ignores it, and its server runs the request.

Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run; the
record is ``record.txt`` in the folder that the first argument names. With
TROUBLE=0 the clients stay until they have their answers.
"""

import asyncio
import os
import sys

import harness

SERVICE = 'orders'
ZONES = ('sk-west-a', 'sk-west-b', 'sk-east-a', 'sk-east-b')
MACHINES = 8
CLIENTS = 6
WORK_S = 1.5
DEADLINE_MS = 5000
PLAY_S = 20
BODY_BYTES = int(os.environ.get('BODY_BYTES', '4000000'))
#: Clients leave this long after the last byte of their request.
LEAVE_S = float(os.environ.get('LEAVE_S', '0.1'))
#: Rule GONE: time after a client has left, and share of the idempotent
#: requests that may still be at work then.
AFTER_S, SHARE = 0.5, 0.25
#: Rule GONE: "a few" requests that may reach a server so late.
FEW = 5
#: ``max_body_bytes`` of the configurations that `fleetbench wire` prints.
LIMITS = {**harness.LIMITS, 'max_body_bytes': 67108864}


def work(first, headers, body):
    return WORK_S, b'done'


async def case(journal):
    fleet = harness.Fleet(journal)
    for number in range(MACHINES):
        zone = ZONES[number % len(ZONES)]
        fleet.add(zone, zone[:-2], SERVICE, work, slots=6)
    fleet.configure(
        {
            'routes': [
                harness.route('album', '/album/', 'idempotent', SERVICE, 5000)
            ],
            'services': [harness.service(SERVICE)],
            'limits': LIMITS,
        }
    )
    left_at = {}
    try:
        await fleet.start()
        await asyncio.gather(
            *(client(fleet, each, left_at) for each in range(CLIENTS))
        )
        await asyncio.sleep(WORK_S + 2)
    finally:
        await fleet.stop()
    return judge(fleet, journal, left_at)


async def client(fleet, number, left_at):
    """Upload one body after the other, each on a new connection."""
    journal = fleet.journal
    body = os.urandom(BODY_BYTES)
    begun_at = journal.now()
    count = 0
    await asyncio.sleep(number / CLIENTS)
    while journal.now() < begun_at + PLAY_S:
        count += 1
        machine = fleet.machines[(number + count) % MACHINES]
        call = harness.Call('PUT', '/album/x', f'c{number}-{count}', body)
        reader, writer = await asyncio.open_connection(
            machine.address, fleet.ports['outbound']
        )
        writer.write(call.encode(DEADLINE_MS))
        await writer.drain()
        journal(f'sent {call.request} to {machine.name}')
        if harness.TROUBLE:
            await asyncio.sleep(LEAVE_S)
            left_at[call.request] = journal.now()
            journal(f'client of {call.request} leaves')
        else:
            first, _ = await harness.read_head(reader)
            journal(f'answer to {call.request}: {first}')
        writer.close()
        await asyncio.sleep(1)


def judge(fleet, journal, left_at):
    """Return the breaches of the rule."""
    late, lasting, at_work, runs = 0, 0, 0, 0
    for machine in fleet.machines:
        server = machine.server
        end_of = {each: at for at, each in server.cut + server.ended}
        for at, request, _ in server.runs:
            runs += 1
            if request not in left_at:
                continue
            limit_at = left_at[request] + AFTER_S
            late += at > limit_at
            if at + WORK_S > limit_at:
                lasting += 1
                at_work += end_of.get(request, limit_at + 1) > limit_at
    summary = (
        f'{len(left_at)} clients left, {runs} requests ran: {late} of these'
        f' began over {AFTER_S} s later; of {lasting} that would have lasted'
        f' so long {at_work} were still at work'
    )
    journal(summary)
    print(summary)
    broken = late > FEW or at_work > SHARE * lasting
    return [f'GONE: {summary}'] if broken else []


if __name__ == '__main__':
    harness.play(sys.argv[1], case)
