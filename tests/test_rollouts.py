"""Rollouts: log order decides, and accepted bundles are never reverted."""

from datetime import timedelta
from functools import lru_cache

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from greengagemux.chains import RecordOutcome, Statement, read_statement
from greengagemux.clocks import ZERO, ms
from greengagemux.events import LogRead, LogRecord
from greengagemux.messages import BundleOffer, BundleRecord
from greengagemux.rollouts import WAIT_PER_RANK, READ_AGE_LIMIT, STREAM, Rollout
from greengagemux.signatures import keygen, open_record, record_digest, sign

PRIVATE, PUBLIC = keygen()
UNKNOWN_PRIVATE, _ = keygen()
KEYS = {'alice': PUBLIC, 'bob': PUBLIC}
Chain = list[tuple[int, bytes]]

READERS = 4
RETENTION = timedelta(seconds=20)
DUE = timedelta(seconds=8)


@lru_cache(maxsize=4096)
def signed(version: int, follows: int, operator: str, extra: str = '') -> bytes:
    """Return a record payload."""
    text = f'[bundle]\nversion = {version}\nfollows = {follows}\n{extra}'
    return sign(text, operator, PRIVATE)


def daemon(name: str = 'd1', centre: str = 'a') -> Rollout:
    """Return a daemon without state."""
    return Rollout(KEYS, name, centre, RETENTION)


class FakeLog:
    """In-memory log whose oldest records can be dropped."""

    def __init__(self) -> None:
        """Start empty."""
        self.first = 0
        self.records: list[LogRecord] = []

    def append(self, *payloads: bytes) -> None:
        """Append records."""
        for payload in payloads:
            self.records.append(LogRecord(len(self.records), payload))

    def read(self, start: int, limit: int = 99) -> LogRead:
        """Return the result of a read from ``start``."""
        begin = max(min(start, len(self.records)), self.first)
        found = tuple(self.records[begin : begin + limit])
        return LogRead(STREAM, self.first, begin + len(found), found)


def poll(reader: Rollout, log: FakeLog) -> list[RecordOutcome]:
    """Read up to the end of the log and once more; return the outcomes."""
    outcomes = []
    for _ in range(2):
        read = log.read(reader.next_read(ZERO).start)
        outcomes += [decision.outcome for decision in reader.read(read)]
    return outcomes


def exchange(source: Rollout, target: Rollout, now: timedelta = ZERO) -> bool:
    """Pass a bundle between daemons; return whether it was accepted."""
    offer = source.offer()
    fetch = offer and target.on_offer(offer, now)
    record = fetch and source.on_fetch(fetch)
    return bool(record) and (
        target.on_record(record).outcome is RecordOutcome.accepted
    )


def version(reader: Rollout) -> int | None:
    """Return the version in force."""
    return reader.bundle.version if reader.bundle else None


def naive_chain(log: FakeLog) -> Chain:
    """Return the accepted versions and digests of all records ever appended."""
    chain = [(0, b'')]
    for record in log.records:
        if read_statement(record.payload) is None:
            bundle = open_record(record.payload, KEYS).bundle
            if bundle.follows == chain[-1][0]:
                chain.append((bundle.version, record_digest(record.payload)))
    return chain


class Races(RuleBasedStateMachine):
    """Many readers, racing operators, lost replies, retention and peers."""

    def __init__(self) -> None:
        """Start with an empty log and new daemons."""
        super().__init__()
        self.log = FakeLog()
        self.now = ZERO
        self.readers = [daemon(f'd{place}') for place in range(READERS)]
        self.messages: list[BundleOffer | BundleRecord] = []
        self.sent: list[bytes] = []
        self.in_force: list[Chain] = [[] for _ in self.readers]

    @initialize()
    def begin(self) -> None:
        """Make races likely from the first step."""
        self.log.append(signed(1, 0, 'alice'))

    @rule(
        seen=st.integers(-1, 3),
        step=st.integers(1, 2),
        operator=st.sampled_from(['alice', 'bob']),
    )
    def release(self, seen: int, step: int, operator: str) -> None:
        """An operator who saw an older state signs what follows it."""
        chain = naive_chain(self.log)
        if seen < 0:
            # The predecessor may be appended later.
            follows = chain[-1][0] + 1
        else:
            follows = chain[max(len(chain) - 1 - seen, 0)][0]
        payload = signed(follows + step, follows, operator)
        self.sent.append(payload)
        self.log.append(payload)

    @rule(place=st.integers(0, 50), count=st.integers(1, 2))
    def append_again(self, place: int, count: int) -> None:
        """Append a record again, as after a lost reply."""
        if self.sent:
            payload = self.sent[place % len(self.sent)]
            self.log.append(*(payload for _ in range(count)))

    @rule(reader=st.integers(0, READERS - 1), limit=st.integers(0, 4))
    def read(self, reader: int, limit: int) -> None:
        """One reader polls."""
        start = self.readers[reader].next_read(ZERO).start
        self.readers[reader].read(self.log.read(start, limit))

    @rule(reader=st.integers(0, READERS - 1), start=st.integers(0, 50))
    def read_late(self, reader: int, start: int) -> None:
        """A reply to an earlier poll arrives late, or the reader is asked twice."""
        late = start % (len(self.log.records) + 1)
        self.readers[reader].read(self.log.read(late, 3))

    @rule(reader=st.integers(0, READERS - 1))
    def restart(self, reader: int) -> None:
        """A new daemon replaces one."""
        self.readers[reader] = daemon(f'd{reader}')
        self.in_force[reader] = []

    @rule(reader=st.integers(0, READERS - 1))
    def offer(self, reader: int) -> None:
        """Keep an offer, which may be delivered much later and repeatedly."""
        offer = self.readers[reader].offer()
        if offer:
            self.messages.append(offer)

    @rule(
        reader=st.integers(0, READERS - 1),
        source=st.integers(0, READERS - 1),
        place=st.integers(0, 50),
    )
    def deliver(self, reader: int, source: int, place: int) -> None:
        """Deliver a message that is new, old or repeated."""
        if not self.messages:
            return
        message = self.messages[place % len(self.messages)]
        if isinstance(message, BundleRecord):
            self.readers[reader].on_record(message)
            return
        fetch = self.readers[reader].on_offer(message, self.now)
        record = fetch and self.readers[source].on_fetch(fetch)
        if record:
            self.messages.append(record)

    @rule(reader=st.integers(0, READERS - 1))
    def keep_alive(self, reader: int) -> None:
        """One reader states the bundle, with time passing for all."""
        rollout = self.readers[reader]
        rollout.keep_alive(self.now, 0)
        self.now += DUE
        append = rollout.keep_alive(self.now, 0)
        reasons = ' '.join(rollout.status().reasons)
        if append and 'truncated' not in reasons and 'lost' not in reasons:
            self.log.append(append.payload)

    @rule(count=st.integers(1, 6))
    def truncate(self, count: int) -> None:
        """The log drops its oldest records."""
        self.log.first = min(self.log.first + count, len(self.log.records))

    @invariant()
    def in_force_is_the_chain(self) -> None:
        """Each daemon moves up along the one chain, and never back."""
        chain = naive_chain(self.log)
        for reader, past in zip(self.readers, self.in_force, strict=True):
            accepted = reader.accepted
            if (
                accepted
                and (accepted.version, accepted.digest) not in past[-1:]
            ):
                past.append((accepted.version, accepted.digest))
            places = [chain.index(entry) for entry in past]
            assert places == sorted(set(places))

    def teardown(self) -> None:
        """After all daemons talked, those with a position agree."""
        everyone = self.readers
        for _ in everyone:
            for source in everyone:
                poll(source, self.log)
                self.now += WAIT_PER_RANK
                for target in everyone:
                    exchange(source, target, self.now)
        self.in_force_is_the_chain()
        known = {version(rollout) for rollout in everyone}
        assert len(known) == 1
        if self.log.first == 0:
            assert known == {naive_chain(self.log)[-1][0] or None}


Races.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
TestRaces = Races.TestCase


def test_race_has_one_winner() -> None:
    """Guards against two accepted bundles of one version.

    The status reports the rejected one with its operator.
    """
    log, reader = FakeLog(), daemon()
    log.append(
        signed(1, 0, 'alice'), signed(2, 1, 'bob'), signed(2, 1, 'alice')
    )
    log.append(signed(4, 3, 'bob'), signed(2, 1, 'bob'), b'x')
    log.append(sign('[bundle]\nversion=3\nfollows=2', 'alice', UNKNOWN_PRIVATE))
    assert poll(reader, log) == [
        RecordOutcome.accepted,
        RecordOutcome.accepted,
        RecordOutcome.superseded,
        RecordOutcome.wrong_version,
        RecordOutcome.repeated,
        RecordOutcome.malformed,
        RecordOutcome.bad_signature,
    ]
    lost = reader.status().decisions[2]
    assert (lost.operator, lost.version) == ('alice', 2)
    assert 'version 2 is the accepted one' in lost.detail


def test_truncated_log_needs_a_statement() -> None:
    """Guards against accepting the loser of a race that truncation made first."""
    log, old, new = FakeLog(), daemon(), daemon('d2')
    log.append(
        signed(1, 0, 'alice'), signed(2, 1, 'bob'), signed(2, 1, 'alice')
    )
    poll(old, log)
    log.first = 2
    assert poll(new, log) == [RecordOutcome.held]
    assert version(new) is None
    old.keep_alive(ZERO, 0)
    log.append(old.keep_alive(DUE, 0).payload, signed(3, 2, 'bob'))
    assert poll(new, log) == [RecordOutcome.repeated, RecordOutcome.accepted]
    assert version(new) == 3
    assert new.accepted.signed.operator == 'bob'


def test_records_lost_after_a_statement() -> None:
    """Guards against accepting a loser when the winner is no longer retained."""
    log, old, new = FakeLog(), daemon(), daemon('d2')
    log.append(signed(1, 0, 'alice'))
    poll(old, log)
    old.keep_alive(ZERO, 0)
    late = old.keep_alive(DUE, 0).payload
    log.append(signed(2, 1, 'bob'), late, signed(2, 1, 'alice'))
    poll(old, log)
    log.first = 2
    poll(new, log)
    assert version(new) == 1
    old.keep_alive(DUE, 0)
    poll(old, log)
    old.keep_alive(DUE * 2, 0)
    log.append(old.keep_alive(DUE * 3, 0).payload)
    poll(new, log)
    assert new.accepted.signed.operator == 'bob'


def test_only_a_statement_is_retained() -> None:
    """Guards against losing the bundle when its own record has expired."""
    log, old, new = FakeLog(), daemon(), daemon('d2')
    log.append(signed(1, 0, 'alice'))
    poll(old, log)
    old.keep_alive(ZERO, 0)
    log.append(old.keep_alive(DUE, 0).payload)
    log.first = 1
    poll(new, log)
    assert (version(new), new.accepted.offset) == (1, 0)
    log.append(signed(2, 1, 'bob'))
    poll(new, log)
    assert version(new) == 2


def test_lost_position_is_stated_again() -> None:
    """Guards against a fleet that can accept no bundle after a long outage."""
    log, reader = FakeLog(), daemon()
    log.append(signed(1, 0, 'alice'))
    poll(reader, log)
    log.append(b'x', signed(2, 1, 'bob'))
    log.first = 2
    poll(reader, log)
    assert 'truncated' in ' '.join(reader.status().reasons)
    assert reader.keep_alive(ZERO, 0) is None
    assert reader.keep_alive(DUE, 0) is None
    poll(reader, log)
    log.append(reader.keep_alive(DUE * 2, 0).payload)
    poll(reader, log)
    assert version(reader) == 2


def test_loser_from_a_peer_is_corrected() -> None:
    """Guards against keeping a losing bundle that a peer offered as accepted."""
    log, reader = FakeLog(), daemon()
    winner, loser = signed(2, 1, 'bob'), signed(2, 1, 'alice')
    log.append(signed(1, 0, 'alice'), winner, loser)
    reader.read(log.read(0, 1))
    reader.read(LogRead(STREAM, 0, 1, ()))
    offer = BundleOffer(1, 2, record_digest(loser))
    assert reader.on_offer(offer, ZERO)
    reader.on_record(BundleRecord(1, loser))
    assert reader.accepted.signed.operator == 'alice'
    poll(reader, log)
    assert reader.accepted.signed.operator == 'bob'
    assert 'replaced' in ' '.join(reader.status().reasons)
    assert reader.on_offer(offer, ZERO) is None


def test_false_peer_does_not_lower_the_version() -> None:
    """Guards against a lower version in force when the log rejects a peer's."""
    log, reader = FakeLog(), daemon()
    log.append(signed(1, 0, 'alice'), signed(9, 0, 'bob'))
    reader.on_offer(
        BundleOffer(1, 9, record_digest(log.records[1].payload)), ZERO
    )
    reader.on_record(BundleRecord(1, log.records[1].payload))
    reader.read(log.read(0))
    reader.read(log.read(2))
    assert version(reader) == 9
    assert reader.offer() is None
    assert 'did not accept' in ' '.join(reader.status().reasons)
    log.append(signed(9, 1, 'alice'))
    poll(reader, log)
    assert reader.accepted.signed.operator == 'alice'


def test_premature_record_is_evaluated_once() -> None:
    """Guards against a delayed read that gets a rejected record accepted."""
    log, reader = FakeLog(), daemon()
    log.append(signed(2, 1, 'bob'), signed(1, 0, 'alice'))
    assert poll(reader, log) == [
        RecordOutcome.wrong_version,
        RecordOutcome.accepted,
    ]
    assert reader.read(log.read(0)) == []
    assert version(reader) == 1


def test_unrequested_records() -> None:
    """Guards against a record that a peer pushes without an offer."""
    reader, payload = daemon(), signed(2, 1, 'bob')
    record = BundleRecord(5, payload)
    assert reader.on_record(record).outcome is RecordOutcome.unrequested
    reader.on_offer(BundleOffer(6, 2, record_digest(payload)), ZERO)
    assert reader.on_record(record).outcome is RecordOutcome.unrequested
    reader.on_offer(BundleOffer(5, 3, record_digest(payload)), ms(9999))
    assert reader.on_record(record).outcome is RecordOutcome.unrequested
    assert version(reader) is None


def test_offer_is_fetched_once() -> None:
    """Guards against fetching one bundle from several peers at once."""
    log, source, target = FakeLog(), daemon(), daemon('d2')
    log.append(signed(1, 0, 'alice'))
    poll(source, log)
    offer = source.offer()
    assert target.on_offer(offer, ZERO)
    assert target.on_offer(offer, ms(1)) is None
    assert target.on_offer(offer, ms(9999))
    assert target.on_record(source.on_fetch(target.on_offer(offer, ms(99999))))
    assert version(target) == 1
    assert target.on_offer(offer, ms(999999)) is None


def test_keep_alive_from_one_daemon() -> None:
    """Guards against a statement appended by every reader."""
    log, first, second = FakeLog(), daemon(), daemon('d2')
    log.append(signed(1, 0, 'alice'))
    for reader in (first, second):
        poll(reader, log)
        reader.keep_alive(ZERO, 0)
    assert second.keep_alive(DUE, 1) is None
    log.append(first.keep_alive(DUE, 0).payload)
    assert first.keep_alive(DUE + ms(1), 0) is None
    poll(second, log)
    second.keep_alive(DUE + ms(1), 1)
    poll(second, log)
    assert second.keep_alive(DUE + READ_AGE_LIMIT, 1) is None
    assert first.keep_alive(DUE * 9, 0) is None


@pytest.mark.parametrize(
    ('stage', 'taken'),
    [
        ('data_centres = b', False),
        ('data_centres = a, b', True),
        ('share_pct = 100', True),
        ('share_pct = 0', False),
    ],
)
def test_stages(stage: str, taken: bool) -> None:  # noqa: FBT001
    """Guards against a stage on the wrong daemons or one that never ends."""
    log, reader = FakeLog(), daemon(centre='a')
    log.append(signed(1, 0, 'alice'))
    poll(reader, log)
    log.append(signed(2, 1, 'alice', f'[rollout]\n{stage}'))
    poll(reader, log)
    assert version(reader) == (2 if taken else 1)
    assert bool(reader.status().reasons) != taken
    assert reader.offer().version == 2
    log.append(signed(3, 2, 'alice'))
    poll(reader, log)
    assert version(reader) == 3


def test_impossible_statement() -> None:
    """Guards against a statement that would skip records after it."""
    log, new = FakeLog(), daemon()
    payload = signed(1, 0, 'alice')
    log.append(payload, payload)
    log.append(msgspec.msgpack.encode(Statement(payload, 0, 7)))
    log.first = 1
    poll(new, log)
    assert version(new) is None
