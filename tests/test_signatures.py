"""Signed records: only an operator's valid key makes a record usable."""

import msgspec
import pytest

from greengagemux import deltas, signatures
from greengagemux.bundles import BundleError
from greengagemux.outcomes import FailureError, Step

PRIVATE, PUBLIC = signatures.keygen()
OTHER, OTHER_PUBLIC = signatures.keygen()
TEXT = '[bundle]\nversion = 12\nfollows = 11\n'


def test_round_trip() -> None:
    """Guards against a record that its own key cannot open."""
    payload = signatures.sign(TEXT, 'alice', PRIVATE)
    signed = signatures.open_record(payload, {'alice': PUBLIC})
    assert (signed.bundle.version, signed.operator) == (12, 'alice')
    assert signed.text == TEXT
    assert signed.digest == signatures.record_digest(payload)


@pytest.mark.parametrize(
    'keys',
    [
        {},
        {'alice': OTHER_PUBLIC},
        {'bob': PUBLIC},
        {'alice': f'{PUBLIC} until 11'},
        {'alice': f'{PUBLIC} from 13, {OTHER_PUBLIC}'},
    ],
)
def test_key_that_is_not_valid(keys: dict[str, str]) -> None:
    """Guards against keys that are unknown, expired or not valid yet.

    A key of another operator is not valid either.
    """
    payload = signatures.sign(TEXT, 'alice', PRIVATE)
    with pytest.raises(signatures.SignatureError):
        signatures.open_record(payload, keys)


def test_rotated_key() -> None:
    """Guards against a rotation that leaves no valid key."""
    ring = signatures.KeyRing.from_settings(
        {'alice': f'{PUBLIC} until 12, {OTHER_PUBLIC} from 12'},
    )
    for private in (PRIVATE, OTHER):
        payload = signatures.sign(TEXT, 'alice', private)
        assert signatures.open_record(payload, ring).bundle.version == 12


def test_damaged_payloads() -> None:
    """Guards against a damaged record that is accepted or not reported."""
    payload = signatures.sign(TEXT, 'alice', PRIVATE)
    for place, octet in enumerate(payload):
        damaged = bytearray(payload)
        damaged[place] = octet ^ 1
        with pytest.raises(FailureError) as raised:
            signatures.open_record(bytes(damaged), {'alice': PUBLIC})
        assert raised.value.failure.step is Step.bundle
        with pytest.raises(FailureError):
            signatures.open_record(payload[:place], {'alice': PUBLIC})


def test_text_that_expands_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a small record that expands to a large text."""
    payload = signatures.sign(TEXT + '#' * 999, 'alice', PRIVATE)
    monkeypatch.setattr(deltas, 'TEXT_LIMIT_BYTES', 999)
    with pytest.raises(FailureError, match='too large'):
        signatures.open_record(payload, {'alice': PUBLIC})


def test_second_encoding_of_a_record() -> None:
    """Guards against two encodings, and so two digests, of one record."""
    payload = signatures.sign(TEXT, 'alice', PRIVATE)
    fields = msgspec.msgpack.decode(payload)
    # The format number takes one byte in the canonical encoding.
    longer = payload[:1] + b'\xcc\x02' + payload[2:]
    assert msgspec.msgpack.decode(longer) == fields
    with pytest.raises(FailureError, match='canonical'):
        signatures.open_record(longer, {'alice': PUBLIC})


def test_invalid_input_is_not_signed() -> None:
    """Guards against a signed bundle that every daemon would reject."""
    with pytest.raises(BundleError):
        signatures.sign('[bundle]', 'alice', PRIVATE)
    with pytest.raises(FailureError, match='64 hex digits'):
        signatures.sign(TEXT, 'alice', 'ab')
    with pytest.raises(FailureError, match='alice'):
        signatures.KeyRing.from_settings({'alice': 'ab'})
