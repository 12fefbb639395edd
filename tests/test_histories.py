"""The seven points of the design hold over generated histories."""

from random import Random

import pytest
from histories import History, generated

#: Histories that broke an invariant once, with what was found.
REGRESSIONS = (
    27809,  # a finished write was forgotten while its home awaited it
    14353,  # an entrance without a bundle had no floor
)


@pytest.mark.parametrize('seed', REGRESSIONS)
def test_history_that_broke_an_invariant(seed: int) -> None:
    """A fault that a history found must not return."""
    assert not History(seed).play(generated(Random(seed)))


def test_generated_histories(request: pytest.FixtureRequest) -> None:
    """Faults in any order and together must break no invariant."""
    count = request.config.getoption('--histories')
    first = request.config.getoption('--history-seed')
    broken = []
    for seed in range(first, first + count):
        violations = History(seed).play(generated(Random(seed)))
        if violations:
            broken.append(f'seed {seed}: {violations[:3]}')
    assert not broken, '\n'.join(broken)
