"""A planned stop cuts off no request in flight."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the requests a daemon held when it ended a planned stop."""
    return [
        f'{name} stopped with work: {record.fields}'
        for name, records in fleet.records.items()
        for record in records
        if record.name == 'stopped' and not record.fields['idle']
    ]
