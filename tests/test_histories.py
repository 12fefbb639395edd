"""The seven points of the design hold over generated histories."""

from random import Random

import pytest
from histories import History, generated


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
