"""A request that was reported as not run has not run."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the requests that ran although "not run" was reported."""
    return [
        f'exchange {exchange}: not run, but ran '
        f'{fleet.runs(fleet.asked[exchange].tag)} times'
        for exchange in fleet.answers
        if fleet.outcome(exchange) == 'not-run'
        and fleet.runs(fleet.asked[exchange].tag)
    ]
