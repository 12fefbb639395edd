"""Every caller that waits is answered by its deadline."""

from datetime import timedelta

from fakes_fleet import FakeFleet

#: Deadlines are checked on ticks, and the process may have just woken.
SLACK = timedelta(milliseconds=100)


def check(fleet: FakeFleet) -> list[str]:
    """Return the requests that were answered late or not at all."""
    lines = []
    for exchange, asked in fleet.asked.items():
        node = fleet.nodes[asked.node]
        if node.incarnation != asked.incarnation or not node.alive:
            continue
        if asked.paused:
            continue
        answered = fleet.answered_at.get(exchange)
        if answered is None:
            lines.append(f'exchange {exchange}: no answer')
        elif answered - asked.at > fleet.deadline + SLACK:
            lines.append(f'exchange {exchange}: after {answered - asked.at}')
    return lines
