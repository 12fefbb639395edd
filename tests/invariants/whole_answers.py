"""Every caller receives the complete response to its own request."""

from fakes_fleet import FakeFleet


def check(fleet: FakeFleet) -> list[str]:
    """Return the responses whose body does not echo their request."""
    return [
        f'exchange {exchange}: asked {fleet.requests[exchange].tag!r}, '
        f'got {answer.body!r}'
        for exchange, answer in fleet.answers.items()
        if fleet.outcome(exchange) == 'completed'
        and answer.status == 200
        and answer.body != fleet.requests[exchange].tag
    ]
