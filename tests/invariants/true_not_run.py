"""A request whose outcome is "not run" has not run."""

from collections import Counter

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the requests that ran although their outcome was "not run".

    A keyed write may run when its caller sends it again, so for a tag that was
    sent more than once only runs before the answer count.
    """
    sends = Counter(request.tag for request in fleet.requests.values())
    lines = []
    for exchange in fleet.answers:
        tag = fleet.requests[exchange].tag
        runs = fleet.run_times.get(tag, [])
        if fleet.outcome(exchange) != 'not-run' or not runs:
            continue
        if sends[tag] == 1 or min(runs) < fleet.answered_at[exchange]:
            lines.append(f'exchange {exchange}: not run, but ran at {runs}')
    return lines
