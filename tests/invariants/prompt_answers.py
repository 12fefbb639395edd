"""Every connected caller is answered by its deadline."""

from datetime import timedelta

from fakes_fleet import FakeFleet

#: Deadlines are checked on ticks, and the process may have just resumed.
TOLERANCE = timedelta(milliseconds=100)


def check(fleet: FakeFleet) -> list[str]:
    """Return the requests that were answered late or not at all.

    Requests at a daemon that was killed, restarted or paused do not count.
    """
    lines = []
    for exchange, request in fleet.requests.items():
        node = fleet.nodes[request.node]
        if node.incarnation != request.incarnation or not node.alive:
            continue
        if request.paused:
            continue
        answered = fleet.answered_at.get(exchange)
        if answered is None:
            lines.append(f'exchange {exchange}: no answer')
        elif answered - request.at > fleet.deadline + TOLERANCE:
            lines.append(f'exchange {exchange}: after {answered - request.at}')
    return lines
