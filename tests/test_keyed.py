"""Keyed writes through several daemons while parts fail."""

from fakes_fleet import FakeFleet, started

from greengagemux.events import StopRequested


def _write(fleet: FakeFleet, node: str, key: bytes, body: bytes = b'') -> int:
    return fleet.ask(node, b'write-' + key, b'/intake/1', key=key, body=body)


def _home_of(fleet: FakeFleet, key: bytes) -> str:
    keyed = fleet.nodes['d0'].daemon.keyed
    slot = keyed.slot_of('ledger', 'anonymous', key.decode())
    owner = keyed.leases.owner_of(slot)
    return home.daemon if home else ''


def _with_homes() -> FakeFleet:
    fleet = started(4)
    fleet.run(8000)
    return fleet


def test_repeated_key_replays_the_answer() -> None:
    """A repetition at another daemon must not run the write again."""
    fleet = _with_homes()
    first = _write(fleet, 'd0', b'k1')
    fleet.run(300)
    again = _write(fleet, 'd3', b'k1')
    fleet.run(300)
    for exchange in (first, again):
        assert fleet.outcome(exchange) == 'completed'
        assert fleet.answers[exchange].body == b'write-k1'
    assert fleet.runs(b'write-k1') == 1


def test_every_daemon_reaches_every_home() -> None:
    """Keys must work at each entrance, whichever daemon is their home."""
    fleet = _with_homes()
    asked = [_write(fleet, f'd{turn % 4}', b'k%d' % turn) for turn in range(60)]
    fleet.run(1000)
    assert {fleet.outcome(exchange) for exchange in asked} == {'completed'}
    leases = {_home_of(fleet, b'k%d' % turn) for turn in range(60)}
    assert len(leases) > 1


def test_same_key_with_another_body_is_refused() -> None:
    """A key that is used twice by mistake must not hide a write."""
    fleet = _with_homes()
    _write(fleet, 'd0', b'k1', b'10 bales')
    fleet.run(300)
    other = _write(fleet, 'd1', b'k1', b'20 bales')
    fleet.run(300)
    assert fleet.outcome(other) == 'not-run'
    assert fleet.reason(other) == 'key-conflict'
    assert fleet.answers[other].status == 409


def test_key_in_progress_waits_for_the_first() -> None:
    """A repetition while the first runs must not run and not claim it."""
    fleet = _with_homes()
    for upstream in fleet.upstreams:
        upstream.service_ms = 500
    first = _write(fleet, 'd0', b'k1')
    fleet.run(100)
    second = _write(fleet, 'd2', b'k1')
    fleet.run(200)
    assert fleet.reason(second) == 'key-in-progress'
    assert fleet.outcome(second) == 'unknown'
    fleet.run(1000)
    assert fleet.outcome(first) == 'completed'
    assert fleet.runs(b'write-k1') == 1


def test_answer_after_the_deadline_is_kept_for_the_key() -> None:
    """A caller that was told "unknown" learns the result by its key."""
    fleet = _with_homes()
    for upstream in fleet.upstreams:
        upstream.service_ms = 3000
    first = _write(fleet, 'd0', b'k1')
    fleet.run(2500)
    assert fleet.outcome(first) == 'unknown'
    assert fleet.answers[first].status == 504
    fleet.run(1500)
    again = _write(fleet, 'd1', b'k1')
    fleet.run(300)
    assert fleet.outcome(again) == 'completed'
    assert fleet.runs(b'write-k1') == 1


def test_killed_home_makes_its_keys_unknown() -> None:
    """Keys that a lost home may have run must not run again."""
    fleet = _with_homes()
    first = _write(fleet, 'd0', b'k1')
    fleet.run(300)
    assert fleet.outcome(first) == 'completed'
    owner = _home_of(fleet, b'k1')
    fleet.kill(home)
    ingress = 'd1' if home != 'd1' else 'd2'
    for _ in range(20):
        again = _write(fleet, ingress, b'k1')
        fleet.run(1000)
        assert fleet.outcome(again) == 'unknown'
    assert fleet.runs(b'write-k1') == 1
    assert _home_of(fleet, b'k1') != home or home == 'd0'


def test_planned_stop_hands_over_the_records() -> None:
    """A planned stop must leave no key unknown."""
    fleet = _with_homes()
    keys = [b'k%d' % turn for turn in range(20)]
    for key in keys:
        _write(fleet, 'd0', key)
    fleet.run(500)
    fleet.nodes['d2'].submit(StopRequested())
    fleet.run(6000)
    assert fleet.nodes['d2'].exited
    asked = [_write(fleet, 'd1', each) for each in keys]
    fleet.run(500)
    for exchange, key in zip(asked, keys, strict=True):
        assert fleet.outcome(exchange) == 'completed'
        assert fleet.runs(b'write-' + key) == 1


def test_store_out_keyed_writes_go_on() -> None:
    """An outage of the log must not stop keyed writes."""
    fleet = _with_homes()
    fleet.log_down = True
    fleet.run(60_000)
    asked = [_write(fleet, f'd{turn % 4}', b'k%d' % turn) for turn in range(40)]
    fleet.run(500)
    assert {fleet.outcome(exchange) for exchange in asked} == {'completed'}


def test_paused_home_does_not_run_after_its_promise() -> None:
    """A home that wakes late must not dispatch what waited for it."""
    fleet = _with_homes()
    owner = _home_of(fleet, b'k1')
    ingress = 'd1' if home != 'd1' else 'd2'
    fleet.pause(home)
    first = _write(fleet, ingress, b'k1')
    fleet.run(20_000)
    assert fleet.outcome(first) == 'unknown'
    fleet.wake(home)
    fleet.run(2000)
    assert fleet.runs(b'write-k1') == 0


def test_refusal_at_an_entrance_says_nothing_of_the_key() -> None:
    """An entrance cannot know that an earlier try did not run."""
    fleet = _with_homes()
    _write(fleet, 'd0', b'k1')
    fleet.run(300)
    refused = fleet.ask('d1', b'write-k1', b'/intake/1/../2', key=b'k1')
    fleet.run(100)
    assert fleet.outcome(refused) == 'unknown'
    assert fleet.answers[refused].status == 400


def test_new_daemon_learns_the_homes_from_peers() -> None:
    """A daemon that starts while the log is away must reach the homes."""
    fleet = _with_homes()
    fleet.log_down = True
    fleet.kill('d3')
    fleet.run(1000)
    fleet.nodes['d3'].start()
    fleet.run(6000)
    asked = []
    for turn in range(30):
        asked.append(_write(fleet, 'd3', b'k%d' % turn))
        fleet.run(20)
    fleet.run(500)
    reachable = 0
    keyed = fleet.nodes['d0'].daemon.keyed
    for turn, exchange in enumerate(asked):
        key = f'k{turn}'
        slot = keyed.slot_of('ledger', 'anonymous', key)
        record = keyed.leases.table.get(slot).record
        assert fleet.runs(b'write-' + key.encode()) <= 1
        # Without the log, a slot stops when its home or successor is lost.
        if 'd3' not in {record.owner.daemon, record.successor.daemon}:
            reachable += 1
            assert fleet.outcome(exchange) == 'completed'
    assert reachable


def test_finished_write_is_not_forgotten_while_its_home_waits() -> None:
    """A long cut of the answers must not make the home run a write again."""
    fleet = _with_homes()
    for upstream in fleet.upstreams:
        upstream.service_ms = 60
    others = {
        name: [each for each in fleet.nodes if each != name]
        for name in fleet.nodes
    }
    for turn in range(40):
        key = b'k%d' % turn
        owner = _home_of(fleet, key)
        _write(fleet, home, key)
        fleet.run(5)
    for name, peers in others.items():
        for peer in peers:
            fleet.cut(peer, name)
    fleet.run(5500)
    fleet.heal()
    fleet.run(6000)
    assert all(fleet.runs(b'write-k%d' % turn) <= 1 for turn in range(40))
