"""Every caller receives the whole answer to its own request."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the answers whose body is not that of their own request."""
    return [
        f'exchange {exchange}: asked {fleet.asked[exchange].tag!r}, '
        f'got {answer.body!r}'
        for exchange, answer in fleet.answers.items()
        if fleet.outcome(exchange) == 'completed'
        and answer.status == 200
        and answer.body != fleet.asked[exchange].tag
    ]
