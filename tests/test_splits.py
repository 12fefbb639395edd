"""Tests of the split of a route over several services."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagemux.bundles import BundleError, Route, WeightedService, parse
from greengagemux.ids import RouteName, ServiceName
from greengagemux.splits import Splits

TEXT = """\
[bundle]
version = 1
follows = 0

[service new]
spill_pct = 150

[service old]
health_path = /ping

[route r]
service = old
prefix = /r/
methods = GET
host = shop.example
attempt_limit = 2
split = old 90, new 10
"""


def _route(weights: list[int]) -> Route:
    shares = tuple(
        WeightedService(ServiceName(f's{index}'), weight)
        for index, weight in enumerate(weights)
    )
    return Route(
        RouteName('r'), ServiceName('s0'), '/', frozenset(), split=shares
    )


@given(
    st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(any),
    st.integers(),
)
def test_shares_follow_the_weights(weights: list[int], seed: int) -> None:
    """Few requests of one ingress must already come close to the weights."""
    splits = Splits(Random(seed))
    route = _route(weights)
    count = 100
    found = Counter(splits.choose(route).service for _ in range(count))
    for index, weight in enumerate(weights):
        share = found[ServiceName(f's{index}')] / count
        assert abs(share - weight / sum(weights)) <= 0.1


def test_keys_of_a_bundle() -> None:
    """The text form must parse every key that the platform sets."""
    bundle = parse(TEXT, 'text')
    route = bundle.routes[RouteName('r')]
    assert route.split == (
        WeightedService('old', 90),
        WeightedService('new', 10),
    )
    assert (route.host, route.attempt_limit) == ('shop.example', 2)
    assert bundle.services[ServiceName('new')].spill_pct == 150
    assert bundle.services[ServiceName('old')].health_path == '/ping'


@pytest.mark.parametrize('split', ['old', 'old 90, gone 10', 'old 0, new 0'])
def test_bad_split_is_named(split: str) -> None:
    """The error for a bad split must name the key."""
    with pytest.raises(BundleError, match='split'):
        parse(TEXT.replace('old 90, new 10', split), 'text')
