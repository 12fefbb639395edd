"""Guards against limited requests that are lost or run without a token."""

from pathlib import Path

import pytest
from fakes_fleet import BUNDLE, FakeFleet, started
from test_platform import LINES, _settings

from greengagemux.allotments.buckets import Limit, Tolerance
from greengagemux.allotments.messages import (
    Decision,
    TokenReply,
    TokenRequest,
)
from greengagemux.bundles import ANONYMOUS
from greengagemux.codecs import decode, encode
from greengagemux.events import CallerDisconnected, StopRequested, Tick
from greengagemux.ids import CallerName, DaemonId, ExchangeId, Incarnation
from greengagemux.messages import Message
from greengagemux.platform import daemons

RATE_PER_S, BURST = 20, 10
ALLOWED = (RATE_PER_S * 5 + BURST) * 1.1 + 20
LIMITED = f"""{BUNDLE}rate_per_s = {RATE_PER_S}
burst = {BURST}
"""


def _limited(size: int = 5, text: str = LIMITED) -> FakeFleet:
    fleet = started(size)
    fleet.publish(
        text.replace('version = 1', 'version = 2').replace(
            'follows = 0', 'follows = 1'
        )
    )
    fleet.run(3000)
    return fleet


def _owner(fleet: FakeFleet) -> str:
    view = fleet.nodes['d0'].daemon.allotments._view
    owner = view.owner(CallerName(ANONYMOUS))
    assert owner is not None
    return owner


def _load(fleet: FakeFleet, names: list[str], per_s: int, time_s: int) -> int:
    """Send requests in turn to some daemons; return the first exchange."""
    first = fleet.exchanges + 1
    for turn in range(per_s * time_s):
        fleet.ask(names[turn % len(names)], b'load-%d' % fleet.exchanges)
        fleet.run(1000 / per_s)
    return first


def _most_in_window(fleet: FakeFleet) -> int:
    times = sorted(
        at.total_seconds() for runs in fleet.run_times.values() for at in runs
    )
    return max(sum(start - 5 < at <= start for at in times) for start in times)


def test_killed_owner_costs_neither_limit_nor_service() -> None:
    """Requests of the account must go on within the limit."""
    fleet = _limited()
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    _load(fleet, names, 60, 5)
    fleet.kill(owner)
    first = _load(fleet, names, 60, 10)
    fleet.run(3000)
    asked = range(first, fleet.exchanges + 1)
    assert all(exchange in fleet.answers for exchange in asked)
    served = [
        exchange for exchange in asked if fleet.outcome(exchange) == 'completed'
    ]
    assert len(served) >= 0.7 * 10 * RATE_PER_S
    assert _most_in_window(fleet) <= ALLOWED


def test_cut_from_owner_stays_within_the_limit() -> None:
    """An ingress that cannot ask the owner must not grant without a bound."""
    fleet = _limited()
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    _load(fleet, names, 60, 5)
    for name in names[:2]:
        for other in set(fleet.nodes) - set(names[:2]):
            fleet.cut(name, other)
            fleet.cut(other, name)
    first = _load(fleet, names, 60, 10)
    fleet.run(3000)
    assert all(
        exchange in fleet.answers
        for exchange in range(first, fleet.exchanges + 1)
    )
    assert _most_in_window(fleet) <= ALLOWED


def test_owner_withholds_shares_of_daemons_it_cannot_reach() -> None:
    """An owner without other use for its paths must notice a cut too."""
    fleet = _limited()
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    for name in names[:2]:
        fleet.cut(name, owner)
        fleet.cut(owner, name)
    _load(fleet, names, 60, 8)
    fleet.run_times.clear()
    fleet.nodes[owner].daemon.allotments.take_counts()
    _load(fleet, names[2:], 60, 5)
    # 3 of 5 members can be reached.
    granted = sum(len(runs) for runs in fleet.run_times.values())
    assert granted <= RATE_PER_S * 5 * 3 / 5 + 2


def test_refusal_names_the_wait_for_the_next_token() -> None:
    """A caller beyond its rate must learn when it may try again."""
    fleet = _limited()
    ingress = next(name for name in fleet.nodes if name != _owner(fleet))
    asked = [fleet.ask(ingress, b'tag-%d' % turn) for turn in range(100)]
    fleet.run(500)
    refused = [
        exchange for exchange in asked if fleet.outcome(exchange) == 'not-run'
    ]
    assert refused
    for exchange in refused:
        assert fleet.reason(exchange) == 'allotment'
        assert fleet.answers[exchange].status == 429
        assert 0 < fleet.answers[exchange].retry_after_ms <= 1000 / RATE_PER_S
    assert sum(fleet.outcome(each) == 'completed' for each in asked) == int(
        BURST + Tolerance().half(Limit(RATE_PER_S, BURST))
    )


def _ask_without_reply(fleet: FakeFleet, tag: bytes) -> tuple[str, int]:
    """Send a request to a daemon whose messages to the owner are held."""
    owner = _owner(fleet)
    ingress = next(name for name in fleet.nodes if name != owner)
    fleet.cut(ingress, owner)
    return ingress, fleet.ask(ingress, tag)


def test_waiting_request_is_not_placed_by_other_paths() -> None:
    """A path that opens or fails must not place a request without token."""
    fleet = _limited()
    ingress, exchange = _ask_without_reply(fleet, b'waits')
    pending = fleet.nodes[ingress].daemon.ingress._pending[exchange]
    assert pending.awaits_token
    spare = next(
        name for name in fleet.nodes if name not in {ingress, _owner(fleet)}
    )
    fleet.kill(spare)
    fleet.nodes[spare].start()
    fleet.run(100)
    assert not fleet.runs(b'waits')
    fleet.run(1000)
    assert fleet.outcome(exchange) == 'completed'
    assert fleet.runs(b'waits') == 1


def test_request_of_a_caller_that_left_is_not_placed() -> None:
    """Nothing may reach an upstream after the caller has left."""
    fleet = _limited()
    ingress, exchange = _ask_without_reply(fleet, b'left')
    fleet.run(20)
    fleet.nodes[ingress].submit(CallerDisconnected(ExchangeId(exchange)))
    fleet.run(1000)
    assert not fleet.runs(b'left')
    fleet.heal()
    fleet.run(1000)
    assert not fleet.runs(b'left')
    daemon = fleet.nodes[ingress].daemon
    assert not daemon.ingress.busy
    assert not daemon.allotments.waiting_count


def test_deadline_of_a_waiting_request_is_kept() -> None:
    """A request whose deadline passes while it waits has not run."""
    short = LIMITED.replace('deadline_ms = 2000', 'deadline_ms = 80')
    fleet = _limited(text=short)
    _ingress, exchange = _ask_without_reply(fleet, b'late')
    fleet.run(150)
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.reason(exchange) == 'deadline'
    fleet.heal()
    fleet.run(1000)
    assert not fleet.runs(b'late')


def test_token_after_the_deadline_places_nothing() -> None:
    """A paused daemon may read a token after the deadline of its request."""
    short = LIMITED.replace('deadline_ms = 2000', 'deadline_ms = 80')
    fleet = _limited(text=short)
    owner = _owner(fleet)
    ingress = next(name for name in fleet.nodes if name != owner)
    fleet.cut(ingress, owner)
    exchange = fleet.ask(ingress, b'late', b'/intake/1')
    fleet.nodes[ingress].daemon.allotments.take_counts()
    fleet.pause(ingress)
    fleet.heal()
    fleet.run(200)
    fleet.resume(ingress)
    counts = fleet.nodes[ingress].daemon.allotments.take_counts()
    assert counts == {('granted', 'owner'): 1}
    fleet.run(500)
    assert not fleet.runs(b'late')
    assert fleet.outcome(exchange) == 'not-run'
    assert fleet.reason(exchange) == 'deadline'


def test_keyed_write_without_token_has_an_unknown_outcome() -> None:
    """Only the owner of a key knows whether the write has run before."""
    short = LIMITED.replace('deadline_ms = 2000', 'deadline_ms = 80')
    fleet = _limited(text=short)
    owner = _owner(fleet)
    ingress = next(name for name in fleet.nodes if name != owner)
    fleet.cut(ingress, owner)
    late = fleet.ask(ingress, b'late', b'/intake/1', key=b'k1')
    fleet.run(120)
    assert fleet.reason(late) == 'deadline'
    assert fleet.outcome(late) == 'unknown'
    stopped = fleet.ask(ingress, b'stopped', b'/intake/1', key=b'k2')
    plain = fleet.ask(ingress, b'plain', b'/intake/1')
    fleet.nodes[ingress].daemon.ingress.stop(fleet.now)
    fleet.nodes[ingress].submit(Tick(fleet.clock.wall()))
    assert fleet.reason(stopped) == fleet.reason(plain) == 'draining'
    assert fleet.outcome(stopped) == 'unknown'
    assert fleet.outcome(plain) == 'not-run'
    assert not fleet.nodes[ingress].daemon.allotments.waiting_count


def test_account_without_a_rate_asks_nobody() -> None:
    """Without a rate nothing may change for an account."""
    fleet = started(3)
    exchange = fleet.ask('d0', b'free')
    fleet.run(100)
    assert fleet.outcome(exchange) == 'completed'
    for node in fleet.nodes.values():
        assert not node.daemon.allotments.take_counts()


def test_owner_sends_itself_no_message() -> None:
    """A request that enters at the owner must be decided at once."""
    fleet = _limited()
    owner = fleet.nodes[_owner(fleet)]
    for other in fleet.nodes:
        fleet.cut(owner.name, other)
    fleet.ask(owner.name, b'own')
    assert owner.daemon.allotments.take_counts() == {('granted', 'owner'): 1}


@pytest.mark.parametrize(
    'message',
    [
        TokenRequest(ExchangeId(7), CallerName('north')),
        TokenReply(ExchangeId(7), Decision.refused, 250, pooled=True),
    ],
)
def test_messages_survive_encoding(message: Message) -> None:
    """Peers must read what a daemon sends."""
    assert decode(encode(message), 'peer') == message


def test_bounds_are_read(tmp_path: Path) -> None:
    """The bounds of the deployment must reach the daemon."""
    lines = LINES.replace(
        'bounds=', 'bounds=quota_window_s=2,quota_overshoot=0.5,quota_slack=3,'
    )
    settings = _settings(tmp_path, lines)
    daemon = daemons.build_daemon(settings, Incarnation(1))
    assert daemon.options.tolerance == Tolerance(2, 0.5, 3)


def test_default_bounds(tmp_path: Path) -> None:
    """Without bounds in the settings the documented figures hold."""
    assert _settings(tmp_path).bounds.tolerance == Tolerance(5, 0.1, 20)


def test_refusals_are_summed_in_the_log() -> None:
    """A flood of refusals must not flood the log."""
    fleet = _limited()
    ingress = next(name for name in fleet.nodes if name != _owner(fleet))
    fleet.records[ingress].clear()
    _load(fleet, [ingress], 200, 3)
    fleet.run(1500)
    records = fleet.records[ingress]
    summaries = [each for each in records if each.name == 'allotment-refused']
    granted = [each for each in records if each.name == 'allotment-granted']
    answered = [
        each.fields['reason']
        for each in records
        if each.name == 'request-answered'
    ]
    refused = answered.count('allotment')
    assert 1 <= len(summaries) <= 5
    assert sum(each.fields['requests'] for each in summaries) == refused
    assert len(granted) == len(answered) - refused
    assert all(each.detail for each in granted)


def test_lowered_limit_binds_after_a_window() -> None:
    """Tokens of the old limit must not outlast the window."""
    fleet = _limited()
    names = list(fleet.nodes)
    _load(fleet, names, 60, 3)
    lower = LIMITED.replace('rate_per_s = 20', 'rate_per_s = 4')
    fleet.publish(
        lower.replace('version = 1', 'version = 3').replace(
            'follows = 0', 'follows = 2'
        )
    )
    _load(fleet, names, 60, 3)
    fleet.run_times.clear()
    _load(fleet, names, 60, 12)
    fleet.run(1000)
    assert _most_in_window(fleet) <= (4 * 5 + BURST) * 1.1 + 20


def test_restarted_owner_stays_within_the_limit() -> None:
    """A new process must not grant a full bucket again."""
    fleet = _limited()
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    _load(fleet, names, 60, 3)
    fleet.kill(owner)
    _load(fleet, names, 60, 1)
    fleet.nodes[owner].start()
    first = _load(fleet, list(fleet.nodes), 60, 8)
    fleet.run(3000)
    asked = range(first, fleet.exchanges + 1)
    assert all(exchange in fleet.answers for exchange in asked)
    assert _most_in_window(fleet) <= ALLOWED
    counts = fleet.nodes[owner].daemon.allotments.take_counts()
    assert counts[('granted', 'owner')]


def test_planned_stop_of_the_owner_stays_within_the_limit() -> None:
    """A daemon that leaves hands its accounts over at once."""
    fleet = _limited()
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    _load(fleet, names, 60, 3)
    fleet.nodes[owner].submit(StopRequested())
    first = _load(fleet, names, 60, 8)
    fleet.run(3000)
    asked = range(first, fleet.exchanges + 1)
    assert all(exchange in fleet.answers for exchange in asked)
    assert _owner(fleet) != owner
    assert _most_in_window(fleet) <= ALLOWED


def test_daemon_that_left_costs_no_share_of_the_rate() -> None:
    """The share of a process that has left and ended is not withheld."""
    fleet = _limited()
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    fleet.nodes[names[0]].submit(StopRequested())
    fleet.run(5000)
    assert not fleet.nodes[names[0]].alive
    daemon = fleet.nodes[owner].daemon
    assert daemon.members.live()[DaemonId(names[0])].leaving
    _load(fleet, names[1:], 60, 6)
    fleet.run_times.clear()
    _load(fleet, names[1:], 60, 5)
    granted = sum(len(runs) for runs in fleet.run_times.values())
    assert RATE_PER_S * 5 * 0.95 <= granted <= ALLOWED


def test_owner_that_was_paused_stays_within_the_limit() -> None:
    """Another daemon may have granted the burst during the pause."""
    burst = 200
    fleet = _limited(text=LIMITED.replace('burst = 10', f'burst = {burst}'))
    owner = _owner(fleet)
    names = [name for name in fleet.nodes if name != owner]
    fleet.run(10_000)
    _load(fleet, list(fleet.nodes), 1, 2)
    fleet.pause(owner)
    fleet.run(67_000)
    _load(fleet, names, 200, 3)
    fleet.resume(owner)
    _load(fleet, list(fleet.nodes), 200, 6)
    fleet.run(1000)
    allowed = (RATE_PER_S * 5 + burst) * 1.1 + 20
    assert _most_in_window(fleet) <= allowed
