"""A planned stop aborts no request in flight."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the planned stops that ended with requests in flight."""
    return [
        f'{name} stopped with work: {record.fields}'
        for name, records in fleet.records.items()
        for record in records
        if record.name == 'stopped' and not record.fields['idle']
    ]
