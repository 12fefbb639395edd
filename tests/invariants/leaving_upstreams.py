"""A draining upstream receives no new request after 3 s."""

from datetime import timedelta

from fakes_fleet import FakeFleet

DRAIN_LIMIT = timedelta(seconds=3)


def check(fleet: FakeFleet) -> list[str]:
    """Return the runs that began later than the limit after a drain."""
    return [
        f'{upstream.name}: work at {started}, draining since {since}'
        for upstream in fleet.upstreams
        for since, until in upstream.drains
        for started in upstream.started
        if since + DRAIN_LIMIT < started < (until or timedelta.max)
    ]
