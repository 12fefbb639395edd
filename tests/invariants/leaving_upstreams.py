"""An upstream that is leaving receives no new work after 3 s."""

from datetime import timedelta

from fakes_fleet import FakeFleet

LIMIT = timedelta(seconds=3)


def check(fleet: FakeFleet) -> list[str]:
    """Return the runs that began too long after an upstream drained."""
    return [
        f'{upstream.name}: work at {started}, draining since {since}'
        for upstream in fleet.upstreams
        for since, until in upstream.drains
        for started in upstream.started
        if since + LIMIT < started < (until or timedelta.max)
    ]
