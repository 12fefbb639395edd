"""The invariants of the design hold over generated histories."""

from random import Random

import pytest
from histories import History, generate_steps

#: Seeds of histories that once broke an invariant, with the fault found.
REGRESSIONS = (
    27809,  # a finished write was discarded while its owner waited for it
    14353,  # an ingress without a bundle applied no capacity floor
)


@pytest.mark.parametrize('seed', REGRESSIONS)
def test_history_that_broke_an_invariant(seed: int) -> None:
    """Guards against the return of a fault that a history found."""
    assert not History(seed).play(generate_steps(Random(seed)))


def test_generated_histories(request: pytest.FixtureRequest) -> None:
    """Guards against faults that break an invariant only in combination."""
    count = request.config.getoption('--histories')
    first = request.config.getoption('--history-seed')
    broken = []
    for seed in range(first, first + count):
        violations = History(seed).play(generate_steps(Random(seed)))
        if violations:
            broken.append(f'seed {seed}: {violations[:3]}')
    assert not broken, '\n'.join(broken)
