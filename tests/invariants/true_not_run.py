"""A request that was reported as not run has not run."""

from collections import Counter

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the requests that ran although "not run" was reported.

    A keyed write that did not run may run when its caller sends it again.
    """
    tries = Counter(asked.tag for asked in fleet.asked.values())
    lines = []
    for exchange in fleet.answers:
        tag = fleet.asked[exchange].tag
        runs = fleet.run_times.get(tag, [])
        if fleet.outcome(exchange) != 'not-run' or not runs:
            continue
        if tries[tag] == 1 or min(runs) < fleet.answered_at[exchange]:
            lines.append(f'exchange {exchange}: not run, but ran at {runs}')
    return lines
