"""A write runs at most once."""

from collections import Counter

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the writes that ran more than once."""
    runs = Counter(
        tag
        for upstream in fleet.upstreams
        for tag in upstream.runs
        if tag.startswith(b'write')
    )
    return [
        f'{tag!r} ran {count} times' for tag, count in runs.items() if count > 1
    ]
