"""Guards against accounts that exceed their rate, or are refused below it."""

from datetime import timedelta

import msgspec
import pytest
from fakes_allotments import Fleet

from greengagemux.bundles import Bundle, Caller
from greengagemux.ids import BundleVersion, CallerName

LIMITS = pytest.mark.parametrize(
    ('rate_per_s', 'burst'), [(40, 40), (5, 5), (5, 0)]
)
#: Load far above the limit, as a multiple of the rate.
FAR_ABOVE = 4
SEEDS = pytest.mark.parametrize('seed', [1, 2])


def _idle(rate_per_s: float, burst: float, seed: int) -> Fleet:
    """Return a fleet in which the account has been idle.

    In this time a local share of the smallest account earns a token.
    """
    fleet = Fleet(rate_per_s, burst, seed=seed)
    fleet.run(25)
    return fleet


@SEEDS
@LIMITS
def test_steady_load_stays_within_the_limit(
    rate_per_s: float, burst: float, seed: int
) -> None:
    """The owner must not grant more than a full bucket and the rate."""
    fleet = _idle(rate_per_s, burst, seed)
    fleet.load(FAR_ABOVE * rate_per_s, 20)
    fleet.run(20)
    assert fleet.most_in_window() <= fleet.allowed
    assert len(fleet.granted) >= 20 * rate_per_s


@SEEDS
@LIMITS
@pytest.mark.parametrize('lead_s', [0.5, 10])
def test_change_of_owner_stays_within_the_limit(
    rate_per_s: float, burst: float, seed: int, lead_s: float
) -> None:
    """Old and new owner may not both grant a full bucket in a window."""
    fleet = _idle(rate_per_s, burst, seed)
    fleet.load(FAR_ABOVE * rate_per_s, lead_s + 20)
    fleet.run(lead_s)
    owner = fleet.owner
    owner.record = msgspec.structs.replace(owner.record, leaving=True)
    owner.view(fleet.hosts)
    for host in fleet.hosts:
        delay = timedelta(seconds=fleet.rng.random())
        fleet.after(delay, lambda host=host: host.view(fleet.hosts))
    fleet.run(20)
    assert fleet.owner is not owner
    assert fleet.most_in_window() <= fleet.allowed


@SEEDS
@LIMITS
@pytest.mark.parametrize('with_owner', [True, False])
def test_cut_stays_within_the_limit(
    rate_per_s: float, burst: float, seed: int, *, with_owner: bool
) -> None:
    """Local shares of a third of the hosts add to what the owner grants."""
    fleet = _idle(rate_per_s, burst, seed)
    fleet.load(FAR_ABOVE * rate_per_s, 40)
    fleet.run(10)
    owner = fleet.owner.number
    others = [host.number for host in fleet.hosts if host.number != owner]
    third = fleet.rng.sample(others, fleet.size // 3)
    fleet.part([*third, owner] if with_owner else third)
    fleet.run(30)
    assert fleet.most_in_window() <= fleet.allowed


@SEEDS
@LIMITS
def test_lasting_cut_stays_within_the_limit(
    rate_per_s: float, burst: float, seed: int
) -> None:
    """Parts of the fleet that lost each other must divide the rate."""
    fleet = _idle(rate_per_s, burst, seed)
    third = frozenset(fleet.rng.sample(range(fleet.size), fleet.size // 3))
    fleet.part(third)
    fleet.run(60)
    for host in fleet.hosts:
        side = [
            other
            for other in fleet.hosts
            if (other.number in third) == (host.number in third)
        ]
        fleet.after(
            timedelta(seconds=2 * fleet.rng.random()),
            lambda host=host, side=side: host.view(side),
        )
    fleet.run(60)
    fleet.load(FAR_ABOVE * rate_per_s, 20)
    fleet.run(20)
    assert fleet.most_in_window() <= fleet.allowed
    assert len(fleet.granted) >= 15 * rate_per_s


@pytest.mark.parametrize('with_owner', [True, False])
@pytest.mark.parametrize('load', [2, FAR_ABOVE, 10])
@LIMITS
def test_surge_at_a_cut_stays_within_the_limit(
    rate_per_s: float, burst: float, load: int, *, with_owner: bool
) -> None:
    """What idle hosts have saved up must not pass in one window."""
    fleet = _idle(rate_per_s, burst, 1)
    fleet.load(load * rate_per_s, 20)
    fleet.run(0.3)
    owner = fleet.owner.number
    others = [host.number for host in fleet.hosts if host.number != owner]
    third = fleet.rng.sample(others, fleet.size // 3)
    fleet.part([*third, owner] if with_owner else third)
    fleet.run(20)
    assert fleet.most_in_window() <= fleet.allowed


@pytest.mark.parametrize('load', [2, FAR_ABOVE, 10])
@LIMITS
def test_surge_without_owner_stays_within_the_limit(
    rate_per_s: float, burst: float, load: int
) -> None:
    """One saved token at each host would be too many for a small account."""
    fleet = _idle(rate_per_s, burst, 1)
    fleet.load(load * rate_per_s, 20)
    fleet.run(0.2)
    fleet.kill(fleet.owner)
    fleet.run(20)
    assert fleet.most_in_window() <= fleet.allowed


@LIMITS
def test_load_below_the_rate_is_served_without_owner(
    rate_per_s: float, burst: float
) -> None:
    """The loss of an owner must cost few requests within the limit."""
    fleet = _idle(rate_per_s, burst, 3)
    fleet.kill(fleet.owner)
    fleet.load(0.6 * rate_per_s, 30)
    fleet.run(31)
    total = len(fleet.granted) + len(fleet.refused)
    assert len(fleet.refused) <= total / 20


@SEEDS
@LIMITS
def test_restart_of_all_daemons_stays_within_the_limit(
    rate_per_s: float, burst: float, seed: int
) -> None:
    """Daemons that do not know each other yet must not act as owners."""
    fleet = _idle(rate_per_s, burst, seed)
    fleet.load(FAR_ABOVE * rate_per_s, 40)
    fleet.run(10)
    for host in fleet.hosts:
        host.start()
        region = [
            other
            for other in fleet.hosts
            if other.number % 2 == host.number % 2
        ]
        known = fleet.rng.sample(region, 24)
        join_s = 0.3 + fleet.rng.random()
        for delay_s, seen in (
            (join_s / 2, [host, *known]),
            (join_s, region),
            (2 + fleet.rng.random(), fleet.hosts),
        ):
            fleet.after(
                timedelta(seconds=delay_s),
                lambda host=host, seen=seen: host.view(seen),
            )
    fleet.run(30)
    assert fleet.most_in_window() <= fleet.allowed


@SEEDS
@LIMITS
def test_lost_owner_costs_neither_limit_nor_all_requests(
    rate_per_s: float, burst: float, seed: int
) -> None:
    """Without its owner an account is served by local shares."""
    fleet = _idle(rate_per_s, burst, seed)
    fleet.load(FAR_ABOVE * rate_per_s, 40)
    fleet.run(10)
    fleet.kill(fleet.owner)
    before = len(fleet.granted)
    fleet.run(30)
    assert fleet.most_in_window() <= fleet.allowed
    assert len(fleet.granted) - before >= 20 * rate_per_s


@LIMITS
def test_load_below_the_rate_is_not_refused(
    rate_per_s: float, burst: float
) -> None:
    """Requests within the limit must pass in spite of bursts."""
    fleet = _idle(rate_per_s, burst, 3)
    fleet.load(0.6 * rate_per_s, 300, cluster=1 + int(burst // 10))
    fleet.run(301)
    total = len(fleet.granted) + len(fleet.refused)
    assert len(fleet.refused) <= total / 1000


def test_state_of_removed_accounts_is_dropped() -> None:
    """Many configurations with changing accounts must not use up memory."""
    fleet = Fleet(5, 5, size=3)
    fleet.run(5)
    host = fleet.hosts[0]
    for number in range(20):
        account = CallerName(f'account-{number}')
        fleet.caller = Caller(account, rate_per_s=5, burst=5)
        bundle = Bundle(
            BundleVersion(2), BundleVersion(1), callers={account: fleet.caller}
        )
        for each in fleet.hosts:
            each.allotments.configure(bundle, fleet.now)
        fleet.ask(host)
        fleet.run(1)
    assert len(fleet.granted) == 20
    for each in fleet.hosts:
        assert not each.allotments.waiting_count
        assert len(each.allotments._view._owners) <= 1
        assert each.allotments.owned_count <= 1
        assert len(each.allotments._owned._pools) <= 1
        assert len(each.allotments._shares._buckets) <= 1
