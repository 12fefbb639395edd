"""Tests that a delta record yields the same bundle as its full text."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagemux import deltas, signatures
from greengagemux.bundles import BundleError, finish, parse, split_steps
from greengagemux.chains import RecordOutcome
from greengagemux.clocks import ZERO
from greengagemux.events import LogRead, LogRecord
from greengagemux.messages import BundleFetch, BundleRecord
from greengagemux.outcomes import FailureError
from greengagemux.rollouts import STREAM, Rollout

PRIVATE, PUBLIC = signatures.keygen()
KEYS = {'alice': PUBLIC}
#: Sections: some conflict, some are invalid, some lack a proper header.
PARTS = (
    '',
    '# note\n',
    '\n',
    'junk = 1\n',
    '[service a]\n',
    '[service a]\r\nfloor_pct = 60\r\n',
    '[service b]  \nfloor_pct = 50',
    '[route r]\nservice = a\nprefix = /r\nmethods = GET\n',
    '[route s]\nservice = b\nprefix = /r\nmethods = GET\n',
    '[caller anonymous]\nroutes = r\n',
    '[team t]\n',
    ' [team u]\n',
    '[team u]\nmax_in_flight = 9\n',
    '[rollout]\nshare_pct = 5\n',
)
TEXTS = st.lists(st.sampled_from(PARTS), max_size=8).map(''.join)
DIFFERENT = settings(derandomize=True, deadline=None, max_examples=400)


def text(version: int, follows: int, extra: str = '') -> str:
    """Return a text that is long enough for a delta to be shorter."""
    teams = ''.join(f'[team t{number}]\n' for number in range(60))
    return f'[bundle]\nversion={version}\nfollows={follows}\n{teams}{extra}'


def chain(*texts: str) -> list[bytes]:
    """Return records of which each is signed as a delta to the one before."""
    return [
        signatures.sign(one, 'alice', PRIVATE, before)
        for before, one in zip(('', *texts), texts, strict=False)
    ]


def read(reader: Rollout, *payloads: bytes) -> list[RecordOutcome]:
    """Read a complete log of these records; return the outcomes."""
    records = tuple(
        LogRecord(offset, payload) for offset, payload in enumerate(payloads)
    )
    event = LogRead(STREAM, 0, len(records), records)
    finish(reader.prepare_read_steps(event))
    found = [decision.outcome for decision in reader.read(event)]
    reader.read(LogRead(STREAM, 0, len(records), ()))
    return found


@DIFFERENT
@given(old=TEXTS, new=TEXTS)
def test_difference_restores_any_text(old: str, new: str) -> None:
    """Guards against a restored text that differs from the signed one."""
    before, after = finish(split_steps(old)), finish(split_steps(new))
    packed = deltas.difference(before, after)
    try:
        restored = finish(deltas.apply_steps(packed, before))
    except deltas.DeltaError:
        # Only a section without a final newline cannot be part of a delta.
        assert any(part and part[-1] != '\n' for part in after[:-1])
        return
    assert restored == after


@DIFFERENT
@given(old=TEXTS, new=TEXTS)
def test_delta_record_equals_full_record(old: str, new: str) -> None:
    """Guards against a delta that yields another bundle than the full text."""
    before, after = text(1, 0, old), text(2, 1, new)
    try:
        expected = parse(after, 'alice')
        first, second = chain(before, after)
    except BundleError:
        return
    base = signatures.open_record(first, KEYS)
    signed = signatures.open_record(second, KEYS, base)
    full = signatures.sign(after, 'alice', PRIVATE)
    assert signed.bundle == expected
    assert signed.text == after
    assert signatures.open_record(full, KEYS).chunks == signed.chunks


@DIFFERENT
@given(
    edits=st.lists(
        st.tuples(st.integers(-2, 9), st.integers(-2, 9), TEXTS), max_size=3
    ),
    old=TEXTS,
)
def test_foreign_edits_never_split_differently(
    edits: list[tuple[int, int, str]], old: str
) -> None:
    """Guards against edits that yield other sections than their text has."""
    packed = deltas.zlib.compress(deltas.msgspec.msgpack.encode(edits))
    before = finish(split_steps(old))
    try:
        after = finish(deltas.apply_steps(packed, before))
    except deltas.DeltaError:
        return
    assert finish(split_steps(''.join(after))) == after


def test_delta_is_short_and_followed_in_log_order() -> None:
    """Guards against other acceptance rules for deltas than for full records."""
    one, two = text(1, 0), text(2, 1, '[service a]\n')
    payloads = chain(one, two, text(3, 2), text(4, 3))
    assert len(payloads[1]) < len(payloads[0])
    rival = signatures.sign(text(2, 1), 'alice', PRIVATE, one)
    early = signatures.sign(text(6, 5), 'alice', PRIVATE, text(5, 4))
    reader = Rollout(KEYS, 'd1', 'a')
    assert read(reader, *payloads[:2], rival, early, *payloads[2:]) == [
        RecordOutcome.accepted,
        RecordOutcome.accepted,
        RecordOutcome.superseded,
        RecordOutcome.wrong_version,
        RecordOutcome.accepted,
        RecordOutcome.accepted,
    ]
    assert reader.accepted.signed.text == text(4, 3)


def test_delta_to_another_text_of_the_version() -> None:
    """Guards against a delta that is applied to another text than its base."""
    other = text(1, 0, '[service x]\n')
    wrong = signatures.sign(text(2, 1), 'alice', PRIVATE, other)
    reader = Rollout(KEYS, 'd1', 'a')
    outcomes = read(
        reader, signatures.sign(text(1, 0), 'alice', PRIVATE), wrong
    )
    assert outcomes[1] is RecordOutcome.malformed
    assert 'another text' in reader.status().decisions[1].detail


def test_full_record_is_due() -> None:
    """Guards against an unbounded chain of deltas without a full record."""
    last = signatures.FULL_RECORD_INTERVAL - 1
    before, after = text(last, last - 1), text(last + 1, last)
    full = signatures.sign(after, 'alice', PRIVATE, before)
    signed = signatures.open_record(full, KEYS)
    delta = deltas.difference(
        finish(split_steps(before)), finish(split_steps(after))
    )
    forged = deltas.msgspec.structs.replace(
        signed.envelope, form=signatures.Form.delta, packed=delta
    )
    base = signatures.open_record(
        signatures.sign(before, 'alice', PRIVATE), KEYS
    )
    with pytest.raises(FailureError, match='full record is due'):
        signatures.open_record(
            deltas.msgspec.msgpack.encode(forged), KEYS, base
        )


def test_damaged_delta() -> None:
    """Guards against a damaged delta that is accepted or not reported."""
    first, second = chain(text(1, 0), text(2, 1))
    base = signatures.open_record(first, KEYS)
    for place, octet in enumerate(second):
        damaged = bytearray(second)
        damaged[place] = octet ^ 1
        with pytest.raises(FailureError):
            signatures.open_record(bytes(damaged), KEYS, base)
    damaged_body = second[:-1] + bytes([second[-1] ^ 1])
    # The damaged copy has the same digest as the intact record, which must
    # still be accepted after it.
    reader = Rollout(KEYS, 'd1', 'a')
    assert read(reader, first, damaged_body, second) == [
        RecordOutcome.accepted,
        RecordOutcome.malformed,
        RecordOutcome.accepted,
    ]


@pytest.mark.parametrize('known', [0, 1, 2])
def test_peer_gets_the_delta_or_the_full_text(known: int) -> None:
    """Guards against a record sent to a peer that lacks the base of it."""
    texts = (text(1, 0), text(2, 1), text(3, 2))
    payloads = chain(*texts)
    source, target = Rollout(KEYS, 'd1', 'a'), Rollout(KEYS, 'd2', 'a')
    read(source, *payloads)
    read(target, *payloads[:known])
    fetch = target.on_offer(source.offer(), ZERO)
    assert source.sends_full(fetch) == (known < 2)
    record = source.on_fetch(fetch)
    assert (record.payload == payloads[2]) == (known == 2)
    finish(target.prepare_record_steps(record))
    assert target.on_record(record).outcome is RecordOutcome.accepted
    assert target.accepted.signed.text == texts[2]
    assert target.on_fetch(BundleFetch(fetch.digest)) is not None


def test_statement_of_a_delta_stands_alone() -> None:
    """Guards against a statement that needs a record lost by truncation."""
    old, new = Rollout(KEYS, 'd1', 'a'), Rollout(KEYS, 'd2', 'a')
    read(old, *chain(text(1, 0), text(2, 1)))
    old.keep_alive(ZERO, 0)
    old.read(LogRead(STREAM, 0, 2, ()))
    append = old.keep_alive(timedelta(minutes=16), 0)
    new.read(LogRead(STREAM, 2, 3, (LogRecord(2, append.payload),)))
    new.read(LogRead(STREAM, 2, 3, ()))
    assert new.bundle.version == 2
    assert new.accepted.digest == old.accepted.digest


def test_key_slots_of_a_service_stay() -> None:
    """Guards against a key that moves to an owner without its record."""
    before = text(1, 0, '[service a]\nkey_slots = 8\n')
    added = '[service a]\nkey_slots = 8\n[service b]\nkey_slots = 3\n'
    payloads = chain(before, text(2, 1, '[service a]\nkey_slots = 9\n'))
    kept = signatures.sign(text(2, 1, added), 'alice', PRIVATE, before)
    reader = Rollout(KEYS, 'd1', 'a')
    assert read(reader, *payloads, kept) == [
        RecordOutcome.accepted,
        RecordOutcome.incompatible,
        RecordOutcome.accepted,
    ]
    decisions = reader.status().decisions
    assert decisions[1].outcome is RecordOutcome.incompatible
    assert 'must stay 8' in decisions[1].detail


def test_unrequested_record_is_not_opened() -> None:
    """Guards against processor time spent on unrequested records."""
    reader = Rollout(KEYS, 'd1', 'a')
    record = BundleRecord(0, chain(text(1, 0))[0])
    assert list(reader.prepare_record_steps(record)) == []
    assert reader.on_record(record).outcome is RecordOutcome.unrequested
